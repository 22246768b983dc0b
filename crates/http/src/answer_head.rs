//! Judges by the structure of an answer's head whether it is whole.
//!
//! HTTP clients accept more than a server may send. No field of a head counts before this judgement.

use http::header::{HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

const CHUNKED: &[u8] = b"chunked";
/// The last status code of any class (RFC 9110 §15).
const LAST_STATUS: u16 = 599;
/// The fields that frame a body (RFC 9112 §6).
const FRAMING_FIELDS: [HeaderName; 2] = [CONTENT_LENGTH, TRANSFER_ENCODING];
/// The start of a status line, before the minor version, a space and three digits.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Why a head is none of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadStructureFault {
    /// A transfer coding other than chunks, of which callers are not told.
    UnknownTransferCoding,
    /// A length beside a transfer coding, of which either may be wrong (RFC 9112 §6.2).
    TwoFramings,
    /// No framing, but a field that is a framing field with a byte changed, or that has one in its value.
    CorruptFraming,
    /// Content that is framed by the head of a status without content (RFC 9110 §8.6, §15.3.6).
    UnexpectedContent,
    /// An agreement to another protocol, for which no request asks.
    ProtocolSwitch,
    /// A status code of no class.
    UnknownStatus,
    /// A status line inside it: another head begins there.
    TwoHeads,
}

impl HeadStructureFault {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownTransferCoding => "unknown_transfer_coding",
            Self::TwoFramings => "two_framings",
            Self::CorruptFraming => "corrupt_framing",
            Self::UnexpectedContent => "unexpected_content",
            Self::ProtocolSwitch => "protocol_switch",
            Self::UnknownStatus => "unknown_status",
            Self::TwoHeads => "two_heads",
        }
    }
}

/// What is wrong with the head of an answer, whoever gave it; `None` if nothing is. `reason` is the reason phrase, where
/// the client tells it.
pub fn head_structure_fault(
    status: StatusCode,
    headers: &HeaderMap,
    reason: Option<&[u8]>,
) -> Option<HeadStructureFault> {
    if status == StatusCode::SWITCHING_PROTOCOLS {
        Some(HeadStructureFault::ProtocolSwitch)
    } else if status.as_u16() > LAST_STATUS {
        Some(HeadStructureFault::UnknownStatus)
    } else if has_second_status_line(headers, reason) {
        Some(HeadStructureFault::TwoHeads)
    } else if has_unknown_transfer_coding(headers) {
        Some(HeadStructureFault::UnknownTransferCoding)
    } else if has_two_framings(headers) {
        Some(HeadStructureFault::TwoFramings)
    } else if has_corrupt_framing(headers) {
        Some(HeadStructureFault::CorruptFraming)
    } else if has_unexpected_content(status, headers) {
        Some(HeadStructureFault::UnexpectedContent)
    } else {
        None
    }
}

/// Whether a status line stands in the reason phrase or in a field. The fields after it are those of another answer, and
/// the status is not.
fn has_second_status_line(headers: &HeaderMap, reason: Option<&[u8]>) -> bool {
    let fields = headers.values().map(HeaderValue::as_bytes);
    fields.chain(reason).any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(STATUS_LINE.len() + 5);
    starts.any(|start| match start.strip_prefix(STATUS_LINE) {
        Some([minor, b' ', code @ ..]) => {
            minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    })
}

/// Whether the body has another transfer coding than chunks, which requests do not ask for (RFC 9112 §7.4). The HTTP
/// library decodes chunks only, and takes a body in another coding as it is.
fn has_unknown_transfer_coding(headers: &HeaderMap) -> bool {
    let fields = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = fields.flat_map(|field| field.as_bytes().split(|byte| *byte == b','));
    let first = codings.next().map(<[u8]>::trim_ascii);
    let is_other = first.is_some_and(|coding| !coding.eq_ignore_ascii_case(CHUNKED));
    is_other || codings.next().is_some()
}

fn has_two_framings(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}

/// Whether a head without framing once had one. The body then seems to end with the connection: its chunks are taken for
/// content, and one that is cut for whole.
fn has_corrupt_framing(headers: &HeaderMap) -> bool {
    let has_framing = FRAMING_FIELDS
        .iter()
        .any(|field| headers.contains_key(field));
    let is_corrupt = |name: &HeaderName, value: &HeaderValue| {
        FRAMING_FIELDS.iter().any(|field| {
            let field = field.as_str().as_bytes();
            is_one_edit_from(name.as_str().as_bytes(), field)
                || contains_field(value.as_bytes(), field)
        })
    };
    !has_framing && headers.iter().any(|(name, value)| is_corrupt(name, value))
}

/// Whether a name becomes another one by changing, adding or removing one byte, or by swapping two neighbours.
fn is_one_edit_from(name: &[u8], other: &[u8]) -> bool {
    let is_same = |(one, other): &(&u8, &u8)| one == other;
    let common = name.iter().zip(other).take_while(is_same).count();
    let (name, other) = (&name[common..], &other[common..]);
    match (name, other) {
        ([first, second, rest @ ..], [other_first, other_second, other_rest @ ..])
            if (first, second, rest) == (other_second, other_first, other_rest) =>
        {
            true
        }
        ([_, rest @ ..], [_, other_rest @ ..]) if rest.len() == other_rest.len() => {
            rest == other_rest
        }
        ([_, rest @ ..], other) if rest.len() == other.len() => rest == other,
        (name, [_, other_rest @ ..]) => name == other_rest,
        _ => false,
    }
}

/// Whether a field line stands inside a value: its line end is missing.
fn contains_field(value: &[u8], field: &[u8]) -> bool {
    let mut starts = (0..value.len()).map(|start| &value[start..]);
    starts.any(|start| {
        let (name, rest) = start.split_at(field.len().min(start.len()));
        name.eq_ignore_ascii_case(field) && rest.trim_ascii_start().starts_with(b":")
    })
}

/// Whether a head frames content that its status excludes. Some servers declare a length of zero with such a status.
fn has_unexpected_content(status: StatusCode, headers: &HeaderMap) -> bool {
    let declares_content = || {
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        lengths.any(|length| length.as_bytes().iter().any(|digit| *digit != b'0'))
    };
    match status {
        StatusCode::NO_CONTENT => headers.contains_key(TRANSFER_ENCODING) || declares_content(),
        StatusCode::RESET_CONTENT => declares_content(),
        _ => false,
    }
}

#[cfg(test)]
#[path = "answer_head_tests.rs"]
mod tests;
