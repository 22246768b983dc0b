//! Answers: whole, streamed, or a verdict.

use std::io::{self, Write};
use std::net::TcpStream;

use chunked_transfer::Encoder;
use drumshore_core::Verdict;
use serde::Serialize;

use crate::{Header, EXECUTION_HEADER, RETRY_AFTER_MS_HEADER};

/// Proof that an answer was sent, as far as the socket tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The socket took all of it.
    Complete,
    /// The caller is gone.
    CallerGone,
}

/// Sends the one answer of a request.
#[derive(Debug)]
pub struct Responder<'c> {
    stream: &'c TcpStream,
    keep_alive: bool,
    headers: Vec<Header>,
}

/// The body that goes with a verdict.
#[derive(Serialize)]
struct ErrorBody<'v> {
    error: ErrorDetail<'v>,
}

#[derive(Serialize)]
struct ErrorDetail<'v> {
    code: &'static str,
    message: &'v str,
    execution: &'static str,
}

impl<'c> Responder<'c> {
    pub(crate) fn new(stream: &'c TcpStream, keep_alive: bool) -> Self {
        Self {
            stream,
            keep_alive,
            headers: Vec::new(),
        }
    }

    /// Adds a header to the answer.
    pub fn add_header(&mut self, name: &str, value: impl ToString) {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_string(),
        });
    }

    /// Sends a whole answer.
    pub fn send(self, status: u16, content_type: &str, body: &[u8]) -> SendOutcome {
        let mut bytes = self.head(status, content_type);
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        outcome((&mut &*self.stream).write_all(&bytes))
    }

    /// Sends a document as JSON.
    pub fn send_json(self, status: u16, document: &impl Serialize) -> SendOutcome {
        match serde_json::to_vec(document) {
            Ok(body) => self.send(status, "application/json", &body),
            Err(error) => self.send(500, "text/plain", error.to_string().as_bytes()),
        }
    }

    /// Sends a verdict: status, headers and JSON body say the same.
    pub fn refuse(mut self, verdict: &Verdict) -> SendOutcome {
        self.add_header(EXECUTION_HEADER, verdict.execution.as_str());
        if let Some(delay) = verdict.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            self.add_header("retry-after", seconds);
            self.add_header(RETRY_AFTER_MS_HEADER, delay.as_millis());
        }
        self.send_json(verdict.code.status(), &error_body(verdict))
    }

    /// Starts a streamed answer. What is written leaves with the body's `flush`.
    pub fn start_stream(
        self,
        status: u16,
        content_type: &str,
    ) -> Result<StreamBody<'c>, io::Error> {
        let mut head = self.head(status, content_type);
        head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        let mut stream = self.stream;
        stream.write_all(&head)?;
        Ok(Encoder::new(stream))
    }

    fn head(&self, status: u16, content_type: &str) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        head.push_str(&format!("content-type: {content_type}\r\n"));
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        for header in &self.headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head.into_bytes()
    }
}

/// The body of a streamed answer; dropping it ends the stream in good order.
pub type StreamBody<'c> = Encoder<&'c TcpStream>;

/// A verdict as the JSON document that callers see.
pub(crate) fn error_body(verdict: &Verdict) -> impl Serialize + '_ {
    ErrorBody {
        error: ErrorDetail {
            code: verdict.code.as_str(),
            message: &verdict.message,
            execution: verdict.execution.as_str(),
        },
    }
}

fn outcome(result: io::Result<()>) -> SendOutcome {
    match result {
        Ok(()) => SendOutcome::Complete,
        Err(_) => SendOutcome::CallerGone,
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
