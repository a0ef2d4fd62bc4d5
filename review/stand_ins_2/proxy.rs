//! TCP proxy whose open connections can go silent, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

#[derive(Clone)]
pub struct Proxy {
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicU64>,
    open_count: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(listens_at: SocketAddr, forwards_to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listens_at)?;
        let proxy = Self { silences: Arc::default(), open_count: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(forwards_to) else { continue };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                accepting.open_count.fetch_add(1, Ordering::SeqCst);
                let opened_in = accepting.silences.load(Ordering::SeqCst);
                let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
                let (there, back) = (accepting.clone(), accepting.clone());
                thread::spawn(move || {
                    there.pump(near, far, opened_in);
                    there.open_count.fetch_sub(1, Ordering::SeqCst);
                });
                thread::spawn(move || back.pump(far_2, near_2, opened_in));
            }
        });
        Ok(proxy)
    }

    /// Number of connections that the near side has open.
    pub fn open_count(&self) -> u64 {
        self.open_count.load(Ordering::SeqCst)
    }

    /// Silences all open connections for good.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn is_silent(&self, opened_in: u64) -> bool {
        self.silences.load(Ordering::SeqCst) > opened_in
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, opened_in: u64) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let silent = self.is_silent(opened_in);
            if count == 0 {
                if !silent {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
            // A silent connection takes bytes that never arrive.
            if !silent && to.write_all(&buffer[..count]).is_err() {
                return;
            }
        }
    }
}
