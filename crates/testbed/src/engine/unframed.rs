//! A server in front of an engine that takes the framing off its answers: they have neither a length nor chunks, and end
//! with their connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use chunked_transfer::Decoder;

/// Headers that frame a body or keep its connection.
const FRAMING_HEADERS: [&str; 3] = ["transfer-encoding", "content-length", "connection"];

/// Serves the answers of the engine at `engine` without their framing, on threads of this process. Each answer is broken
/// off after `cut` bytes of its body, if set. Returns the address.
pub fn spawn(engine: SocketAddr, cut: Option<u64>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((engine.ip(), 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            thread::spawn(move || {
                if let Err(error) = serve(caller, engine, cut) {
                    tracing::debug!("engine: an answer without framing ended early: {error}");
                }
            });
        }
    });
    Ok(address)
}

/// Passes one request on to the engine, and its answer back.
fn serve(mut caller: TcpStream, engine: SocketAddr, cut: Option<u64>) -> io::Result<()> {
    let mut upstream = TcpStream::connect(engine)?;
    let mut reader = BufReader::new(caller.try_clone()?);
    let request = Head::read(&mut reader)?;
    upstream.write_all(&request.without(&["connection"]))?;
    let mut body = reader.take(request.content_length());
    io::copy(&mut body, &mut upstream)?;
    let mut answer_reader = BufReader::new(upstream);
    let answer = Head::read(&mut answer_reader)?;
    caller.write_all(&answer.without(&FRAMING_HEADERS))?;
    let mut body: Box<dyn Read> = if answer.value("transfer-encoding").is_some() {
        Box::new(Decoder::new(answer_reader))
    } else {
        Box::new(answer_reader.take(answer.content_length()))
    };
    body = Box::new(body.take(cut.unwrap_or(u64::MAX)));
    copy_as_it_arrives(&mut body, &mut caller)?;
    caller.shutdown(Shutdown::Write)
}

fn copy_as_it_arrives(body: &mut dyn Read, caller: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; 4 * 1024];
    loop {
        match body.read(&mut buffer)? {
            0 => return Ok(()),
            count => caller.write_all(&buffer[..count])?,
        }
    }
}

/// The lines of a request or answer before its body.
struct Head(Vec<String>);

impl Head {
    fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Self(lines));
            }
            lines.push(line.to_owned());
        }
    }

    fn value(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter().filter_map(|line| line.split_once(':'));
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    fn content_length(&self) -> u64 {
        let length = self.value("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// The head as sent on a connection that is closed after the answer, without some headers.
    fn without(&self, names: &[&str]) -> Vec<u8> {
        let is_kept = |line: &&String| {
            let name = line.split(':').next().unwrap_or_default();
            !names
                .iter()
                .any(|dropped| dropped.eq_ignore_ascii_case(name))
        };
        let kept: Vec<&str> = self.0.iter().filter(is_kept).map(String::as_str).collect();
        format!("{}\r\nconnection: close\r\n\r\n", kept.join("\r\n")).into_bytes()
    }
}
