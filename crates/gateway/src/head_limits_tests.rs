//! Tests of the limits on heads.

use rstest::rstest;

use super::*;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";

/// Reads the bytes in pieces of this size and returns the reader.
fn read(bytes: &[u8], piece: usize) -> HeadReader {
    let heads = Heads::default();
    heads.expect_answer();
    let mut reader = heads.0.take();
    for piece in bytes.chunks(piece) {
        reader.read(piece);
    }
    reader
}

#[rstest]
#[case::one_head(FINAL.to_owned(), 0)]
#[case::interim_heads(INTERIM.repeat(3) + FINAL, 3)]
#[case::line_feeds_alone(INTERIM.repeat(2).replace('\r', "") + &FINAL.replace('\r', ""), 2)]
#[case::blank_lines_before_a_head("\r\n".to_owned() + INTERIM + "\r\n" + FINAL, 1)]
fn heads_are_read_up_to_the_end_of_the_final_one(
    #[case] heads: String,
    #[case] interim: u32,
    #[values(1, 7, 4096)] piece: usize,
) {
    let reader = read(
        (heads.clone() + "body HTTP/1.1 100\r\n\r\n").as_bytes(),
        piece,
    );
    assert!(reader.is_complete);
    assert_eq!(reader.bytes, heads.len() as u64);
    assert_eq!(reader.interim_heads, interim);
    assert_eq!(reader.exceeded, None);
}

#[rstest]
#[case::as_many_as_allowed(MAX_INTERIM_HEADS, None)]
#[case::one_more(MAX_INTERIM_HEADS + 1, Some(HeadLimit::InterimHeads))]
fn interim_heads_are_limited(#[case] count: u32, #[case] exceeded: Option<HeadLimit>) {
    let heads = INTERIM.repeat(count as usize) + FINAL;
    assert_eq!(read(heads.as_bytes(), 1).exceeded, exceeded);
}

#[rstest]
#[case::in_one_head(format!("HTTP/1.1 103 Early Hints\r\nA: {}", "a".repeat(MAX_HEAD_BYTES as usize)))]
#[case::in_several_heads(format!("HTTP/1.1 103 E\r\nA: {}\r\n\r\n", "a".repeat(20 << 10)).repeat(4))]
#[case::in_blank_lines("\r\n".repeat(MAX_HEAD_BYTES as usize))]
fn bytes_of_heads_are_limited(#[case] heads: String) {
    assert_eq!(
        read(heads.as_bytes(), 1000).exceeded,
        Some(HeadLimit::Bytes)
    );
}

#[test]
fn bytes_of_a_body_are_not_limited() {
    let body = "x".repeat(4 * MAX_HEAD_BYTES as usize);
    let reader = read((FINAL.to_owned() + &body).as_bytes(), 5000);
    assert_eq!(reader.exceeded, None);
}
