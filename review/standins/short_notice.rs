//! Back ends that are taken away at short notice while they send streams that end with their connections.

use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, wait_until, Deployment, Failure, Message, Record, CONTACT, HOST,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-chat","host":"a.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":500},{"name":"r-digest","host":"a.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":500}],"services":[{"name":"llm","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity_tokens":107924,"kv_token_bytes":163840,"link_mbps":740000.0,"backups":false,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const BACK_ENDS: u8 = 7;
/// Events of a stream.
const PIECES: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(100);
/// How long after its notice a back end is gone.
const NOTICE: Duration = Duration::from_secs(2);
/// How long after the notice another one comes.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(4);
const STREAMS: usize = 120;
const BETWEEN_STREAMS: Duration = Duration::from_millis(100);
/// The streams before which a back end is given notice.
const NOTICES_BEFORE: [usize; 2] = [40, 90];

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Arc::new(Deployment::start(folder, record)?);
    deployment.configure(CONFIGURATION)?;
    let mut back_ends = Vec::new();
    for number in 0..BACK_ENDS {
        back_ends.push(Handle::start(
            folder,
            options(&deployment, record_path, number),
        )?);
    }
    deployment.wait_until_ready()?;
    wait_until("streams are served", || {
        (0..2).all(|front| {
            read_stream(&deployment, front, "/chat/x", "warm")
                .is_some_and(|stream| stream.is_whole())
        })
    })?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    let mut successors = Vec::new();
    let mut readers = Vec::new();
    for number in 0..STREAMS {
        if NOTICES_BEFORE.contains(&number) && !is_trouble_off() {
            if let Some(back_end) = back_ends.pop() {
                let number = BACK_ENDS + successors.len() as u8;
                let successor = options(&deployment, record_path, number);
                successors.push(take_away(folder, back_end, successor, record));
            }
        }
        let deployment = Arc::clone(&deployment);
        readers.push(thread::spawn(move || {
            let path = ["/chat/x", "/digest/x"][number / 2 % 2];
            read_stream(&deployment, number, path, &format!("s-{number}"))
        }));
        thread::sleep(BETWEEN_STREAMS);
    }
    let streams = readers
        .into_iter()
        .filter_map(|reader| reader.join().ok().flatten());
    let streams: Vec<Stream> = streams.collect();
    // Ends them.
    for successor in successors {
        drop(successor.join());
    }
    let truncated = streams
        .iter()
        .filter(|stream| stream.looks_complete && !stream.is_whole())
        .count();
    let broken = streams
        .iter()
        .filter(|stream| !stream.looks_complete)
        .count();
    record.line(&format!(
        "{} streams: {truncated} ended as complete before their last piece, {broken} were broken off visibly or refused",
        streams.len()
    ));
    Ok(truncated == 0)
}

fn options(deployment: &Deployment, record_path: &Path, number: u8) -> Options {
    Options {
        id: format!("w-{number}"),
        service: "llm".to_owned(),
        address: deployment.back_end(number),
        controls: deployment.controls(),
        events: record_path.to_owned(),
        slots: 48,
        crash_on: String::new(),
        pieces: PIECES,
        interval: INTERVAL,
    }
}

/// The platform gives a back end notice, ends it two seconds later, and starts another one four seconds after the notice.
fn take_away(
    folder: &Path,
    mut back_end: Handle,
    successor: Options,
    record: &Record,
) -> JoinHandle<Option<Handle>> {
    let (folder, record) = (folder.to_owned(), record.clone());
    thread::spawn(move || {
        let id = back_end.options.id.clone();
        record.line(&format!("platform: gives notice to {id}"));
        let _ = back_end.leave();
        thread::sleep(NOTICE);
        back_end.process.kill();
        record.line(&format!("platform: {id} is gone"));
        thread::sleep(SUCCESSOR_AFTER - NOTICE);
        Handle::start(&folder, successor).ok()
    })
}

/// What a caller received of a stream.
struct Stream {
    /// The answer ended as HTTP says that a whole answer ends.
    looks_complete: bool,
    last_piece: u32,
}

impl Stream {
    fn is_whole(&self) -> bool {
        self.last_piece == PIECES
    }
}

fn read_stream(deployment: &Deployment, front: usize, path: &str, id: &str) -> Option<Stream> {
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", "k1"),
        ("X-Drumshore-Request-Id", id),
        ("X-Drumshore-Deadline-Ms", "15000"),
        ("X-Drumshore-Model", "m"),
        ("X-Drumshore-Token-Usage", "600,160"),
        (
            "X-Drumshore-Prompt-Prefix",
            "5c1e07a2:200,91bd3f06:200,e4402b7d:200",
        ),
    ];
    deployment
        .record
        .line(&format!("caller: sends {id} {path}"));
    let answer = call(
        deployment.front(front),
        "POST",
        path,
        &headers,
        "the prompt",
        Duration::from_secs(6),
    );
    let stream = stream_of(answer.as_ref());
    deployment.record.line(&format!(
        "caller: {id} status {}, last piece {} of {PIECES}, {}",
        answer.as_ref().map_or(0, Message::status),
        stream.last_piece,
        if stream.looks_complete {
            "ended as complete"
        } else {
            "broken off"
        }
    ));
    Some(stream)
}

fn stream_of(answer: Option<&Message>) -> Stream {
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let ids = body.as_deref().unwrap_or_default().lines();
    let last = ids
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .next_back();
    Stream {
        looks_complete: answer.is_some_and(|answer| answer.status() == 200 && answer.is_complete),
        last_piece: last.unwrap_or(0),
    }
}
