//! Tests of how the reader determines where a request ends.
//!
//! Connections with malformed requests are tested in `tests/sockets`.

use super::framing::{parse_framing, Framing};
use super::MAX_HEAD_BYTES;

#[test]
fn framing_accepts_one_valid_content_length_and_rejects_ambiguous_ones() {
    let head = |fields: &str| format!("POST /transfer HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    let framing_of = |fields: &str| parse_framing(head(fields).as_bytes());
    let head_length = head("").len() as u64;
    assert_eq!(framing_of(""), Framing::Length(head_length));
    assert_eq!(
        framing_of("Content-Length: 4\r\n"),
        Framing::Length(head_length + 19 + 4)
    );
    assert_eq!(
        framing_of("transfer-encoding: chunked\r\n"),
        Framing::Chunked
    );
    for ambiguous in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\ncontent-length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "no field\r\n",
    ] {
        assert_eq!(framing_of(ambiguous), Framing::Malformed, "{ambiguous}");
    }
    assert_eq!(parse_framing(b"POST /transfer HT"), Framing::Incomplete);
    assert_eq!(parse_framing(b"dy"), Framing::Malformed);
    assert_eq!(
        parse_framing(&vec![b'A'; MAX_HEAD_BYTES]),
        Framing::Malformed
    );
}
