//! Guards against answers that end with their connection and are taken for whole by the product's own interface.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use drumshore_core::{ModelName, RequestId};
use drumshore_router::engine_api;
use drumshore_router::relay::{RelayProgress, StreamRelay};
use drumshore_testbed::engine::http::{self, EngineOptions};
use drumshore_testbed::engine::unframed;
use serde_json::json;

const BLOCK_TOKENS: u32 = 16;

fn start_engine() -> SocketAddr {
    let options = EngineOptions {
        listen: "127.0.0.1:0".parse().expect("an address"),
        params: http::params("engine", &ModelName::new("m"), BLOCK_TOKENS, 1.0),
        platform: None,
        witness: None,
    };
    http::spawn(options).expect("a free port")
}

/// The head and the body of a streamed completion, as its connection carries them. Events repeat the id, so answers to
/// ids of one length are of one length.
fn complete(address: SocketAddr, id: RequestId) -> (String, Vec<u8>) {
    let body =
        json!({"model": "m", "prompt": "berth 7", "max_tokens": 4, "stream": true}).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: engine\r\n{}: {id}\r\ncontent-length: {}\r\n\r\n{body}",
        engine_api::REQUEST_ID,
        body.len()
    );
    let mut stream = TcpStream::connect(address).expect("the engine listens");
    stream
        .write_all(request.as_bytes())
        .expect("the engine reads");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("no reset");
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n");
    let body = answer.split_off(end.expect("a head") + 4);
    (String::from_utf8_lossy(&answer).to_lowercase(), body)
}

#[test]
fn a_stream_cut_at_any_byte_is_not_done() {
    let engine = start_engine();
    let ids = [1, 2].map(|sequence| RequestId {
        router: 0,
        sequence,
    });
    let uncut = unframed::spawn(engine, None).expect("a free port");
    let (head, whole) = complete(uncut, ids[0]);
    assert!(
        !head.contains("transfer-encoding") && !head.contains("content-length"),
        "{head}"
    );
    let progress = |body: &[u8]| StreamRelay::new().feed(body, &mut |_| {});
    assert_eq!(progress(&whole), Ok(RelayProgress::Done));
    for cut in 0..whole.len() {
        assert_eq!(
            progress(&whole[..cut]),
            Ok(RelayProgress::Open),
            "cut at {cut}"
        );
    }
    let cut = whole.len() - 3;
    let cutting = unframed::spawn(engine, Some(cut as u64)).expect("a free port");
    let (_, body) = complete(cutting, ids[1]);
    assert_eq!(
        (body.len(), progress(&body)),
        (cut, Ok(RelayProgress::Open))
    );
}
