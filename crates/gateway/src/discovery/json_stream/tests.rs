use super::*;

/// Returns the json_stream of a stream that arrives in frames of one size, and the error that ended it.
fn split(stream: &str, size: usize) -> (Vec<String>, Result<(), ListError>) {
    let (mut json_stream, mut documents) = (JsonStream::default(), Vec::new());
    for frame in stream.as_bytes().chunks(size) {
        json_stream.push(frame);
        loop {
            match json_stream.next() {
                Ok(Some(StreamItem::Document(text))) => {
                    documents.push(String::from_utf8(text.to_vec()).unwrap())
                }
                Ok(Some(StreamItem::Whitespace)) => {}
                Ok(None) => break,
                Err(error) => return (documents, Err(error)),
            }
        }
    }
    (documents, Ok(()))
}

#[test]
fn documents_are_split_the_same_for_every_frame_size() {
    let cases: [(&str, &[&str]); 8] = [
        ("", &[]),
        (" \r\n\t\n", &[]),
        ("{}\n\n{\"a\":1}\n", &["{}", "{\"a\":1}"]),
        ("{}{}{\"a\"", &["{}", "{}"]),
        ("{\n  \"a\": [\n    {}\n  ]\n}\n", &["{\n  \"a\": [\n    {}\n  ]\n}"]),
        (r#"{"a":"}{]["}{}"#, &[r#"{"a":"}{]["}"#, "{}"]),
        (r#"{"a":"\"}","b":"\\"}{}"#, &[r#"{"a":"\"}","b":"\\"}"#, "{}"]),
        ("{\"\u{e9}\u{1f980}\":[]}", &["{\"\u{e9}\u{1f980}\":[]}"]),
    ];
    for (stream, expected) in cases {
        for size in 1..=stream.len().max(1) {
            let (documents, end) = split(stream, size);
            assert!(documents == expected && end.is_ok(), "{stream} by {size}: {documents:?}, {end:?}");
        }
    }
}

#[test]
fn rejects_an_invalid_or_too_long_document() {
    let long = format!("{{\"a\":\"{}", "x".repeat(MAX_DOCUMENT));
    let cases = [("{}\n[]", 1, ListError::NoDocument), ("x", 0, ListError::NoDocument)];
    for (stream, valid_documents, error) in cases.into_iter().chain([(long.as_str(), 0, ListError::TooLong)])
    {
        let (documents, end) = split(stream, 4096);
        assert_eq!((documents.len(), end.unwrap_err().to_string()), (valid_documents, error.to_string()));
    }
}
