//! `evacuate`, `readmit` and `evacuations`: orders about the evacuation of data centres.

use clap::ArgMatches;
use hyper::Method;

use super::{client_at, required, wants_json};
use crate::client::encode_segment;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::message::EvacuationList;

/// Path of the list of evacuations at a control replica.
const PATH: &str = "/evacuation";

/// Orders that nothing more starts in a data centre.
pub(super) async fn evacuate(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let name = order(matches, Method::POST).await?;
    context.result(&format!("data centre {name} is evacuated; what runs there continues"))?;
    Ok(ExitStatus::Done)
}

/// Withdraws the evacuation of a data centre.
pub(super) async fn readmit(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let name = order(matches, Method::DELETE).await?;
    context.result(&format!("data centre {name} is not evacuated; work starts there"))?;
    Ok(ExitStatus::Done)
}

/// Lists the evacuated data centres.
pub(super) async fn list(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let client = client_at(required(matches, "control-address")?, matches)?;
    let Some(list) = client.read::<EvacuationList>(PATH).await? else {
        context
            .message("error: the deployment has no evacuations; set an evacuation time for it")?;
        return Ok(ExitStatus::Refused);
    };
    if wants_json(matches) {
        context.result(&serde_json::to_string_pretty(&list)?)?;
    } else if list.data_centres.is_empty() {
        context.message("no data centre is evacuated")?;
    } else {
        context.result(&list.data_centres.join("\n"))?;
    }
    Ok(ExitStatus::Done)
}

/// Sends an order and returns the name of the data centre.
async fn order(matches: &ArgMatches, method: Method) -> Result<&str, CliError> {
    let name = required(matches, "data-centre")?;
    let client = client_at(required(matches, "control-address")?, matches)?;
    client.order(method, &format!("{PATH}/{}", encode_segment(name))).await?;
    Ok(name)
}
