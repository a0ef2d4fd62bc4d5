//! Shape of a JSON document, counted without decoding it.

/// Number of objects and fields of a document, and its nesting depth.
///
/// Counted from the separators outside strings, so that the counts of an invalid document are
/// still upper bounds of what a decoder builds before it stops.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DocumentShape {
    /// Number of objects and lists.
    pub object_count: usize,
    /// Number of separators between fields or elements.
    pub field_count: usize,
    /// Deepest nesting of objects and lists.
    pub depth: usize,
}

impl DocumentShape {
    /// Counts the shape of `text`.
    pub fn new(text: &[u8]) -> Self {
        let mut shape = Self::default();
        let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
        for byte in text {
            if in_string {
                match byte {
                    _ if escaped => escaped = false,
                    b'\\' => escaped = true,
                    b'"' => in_string = false,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => {
                    depth += 1;
                    shape.object_count += 1;
                    shape.depth = shape.depth.max(depth);
                }
                b'}' | b']' => depth = depth.saturating_sub(1),
                b',' => shape.field_count += 1,
                _ => {}
            }
        }
        shape
    }
}
