//! Guards against documents that decode into far more memory than was reserved for them because
//! their objects and fields are not all counted.

#![allow(missing_docs)]

use yuccatack_http::DocumentShape;

#[test]
fn objects_and_fields_counted() {
    let shape = DocumentShape::new(br#"{"a":[1,2,{"b":"x"}],"c":{}}"#);
    assert_eq!(shape, DocumentShape { object_count: 4, field_count: 3, depth: 3 });
}

#[test]
fn strings_skipped() {
    let shape = DocumentShape::new(br#"{"a":"{[,\"{,","b":"\\"}"#);
    assert_eq!(shape, DocumentShape { object_count: 1, field_count: 1, depth: 1 });
}

#[test]
fn broken_documents_counted() {
    assert_eq!(DocumentShape::new(&[b'['; 500]).depth, 500);
    assert_eq!(DocumentShape::new(b"]]}{},").field_count, 1);
    assert_eq!(DocumentShape::new(b""), DocumentShape::default());
}
