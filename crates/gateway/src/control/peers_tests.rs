//! Tests that a link between control machines is replaced when it stops carrying data without being closed.

use drumshore_gateway_core::back_end_speed::SpeedNews;
use drumshore_wire::Blob;
use tokio::io::AsyncReadExt;
use tokio::task::LocalSet;

use super::*;

/// The peer of the links: reads all bytes, and responds to messages if `responds` is set.
async fn accept_links(listener: TcpListener, responds: bool, accepted: Rc<Cell<usize>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        accepted.set(accepted.get() + 1);
        if !responds {
            tokio::task::spawn_local(async move {
                let mut bytes = [0; 1_024];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
            });
            continue;
        }
        let (sender, mut receiver) = link::accept(stream, Rc::default()).unwrap();
        tokio::task::spawn_local(async move {
            while receiver.receive().await.is_ok() {
                sender.send(&Message::KeepAlive);
            }
        });
    }
}

/// How a link to such a peer ends; `None` when it stays connected for longer than [`RESPONSE_TIMEOUT`].
fn link_end(responds: bool) -> Option<LinkEnd> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        tokio::task::spawn_local(accept_links(listener, responds, Rc::default()));
        let (sender, receiver) = Redial::default().dial(target).await.unwrap();
        let (_keeps_queue_open, mut queue) = mpsc::channel(1);
        let ended = run_link(&sender, receiver, &mut queue, |_| {});
        timeout(RESPONSE_TIMEOUT + 3 * KEEP_ALIVE_INTERVAL, ended)
            .await
            .ok()
    })
}

/// The peer's kernel acknowledges all data, so only the missing response to keep-alive messages shows the failure.
#[test]
fn a_link_whose_peer_reads_but_never_responds_is_closed() {
    assert_eq!(link_end(false), Some(LinkEnd::Unresponsive));
}

#[test]
fn a_link_with_keep_alive_traffic_only_stays_connected() {
    assert_eq!(link_end(true), None);
}

/// Guards against keeping a connection that a device on the path has dropped: the link must connect again.
#[test]
fn an_unresponsive_link_is_reconnected() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let accepted = Rc::new(Cell::new(0));
        tokio::task::spawn_local(accept_links(listener, false, Rc::clone(&accepted)));
        let (_keeps_queue_open, queue) = mpsc::channel(1);
        tokio::task::spawn_local(async move {
            maintain_link(target, Redial::default(), queue, &RefCell::default()).await;
        });
        while accepted.get() < 2 {
            tokio::time::sleep(KEEP_ALIVE_INTERVAL / 10).await;
        }
    });
}

/// What a peer received on a link.
#[derive(Default)]
struct Received {
    keep_alives: Cell<usize>,
    news: Cell<usize>,
}

/// A peer that responds to keep-alive messages, as a build that decodes measurements does if `decodes` is set.
async fn accept_news(listener: TcpListener, decodes: bool, received: Rc<Received>) {
    let (stream, _) = listener.accept().await.unwrap();
    let (sender, mut receiver) = link::accept(stream, Rc::default()).unwrap();
    while let Ok(message) = receiver.receive().await {
        match message {
            Message::News(_) => received.news.set(received.news.get() + 1),
            _ => received.keep_alives.set(received.keep_alives.get() + 1),
        }
        if decodes {
            sender.send_marked(&Message::KeepAlive);
        } else {
            sender.send(&Message::KeepAlive);
        }
    }
}

/// Whether news with measurements that are queued every 10 ms reach a peer before its third keep-alive message.
fn measurements_reach(decodes: bool) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let received = Rc::new(Received::default());
        tokio::task::spawn_local(accept_news(listener, decodes, Rc::clone(&received)));
        let (queue_sender, mut queue) = mpsc::channel(QUEUED_MESSAGES);
        tokio::task::spawn_local(async move {
            let (sender, receiver) = Redial::default().dial(target).await.unwrap();
            run_link(&sender, receiver, &mut queue, |_| {}).await
        });
        let speeds = Message::BackEndSpeeds(SpeedNews::default());
        let news = Message::News(Blob::new(speeds.encode()));
        while received.news.get() == 0 && received.keep_alives.get() < 3 {
            let _ = queue_sender.try_send(news.clone());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        received.news.get() > 0
    })
}

/// An earlier build would refuse such news, and log each.
#[test]
fn measurements_are_sent_only_to_a_peer_that_decodes_them() {
    assert!(measurements_reach(true));
    assert!(!measurements_reach(false));
}
