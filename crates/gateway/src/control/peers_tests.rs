//! Tests that a link between control machines is replaced when it stops carrying data without being closed.

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
        let ended = run_link(&sender, receiver, &mut queue);
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
        tokio::task::spawn_local(maintain_link(target, Redial::default(), queue));
        while accepted.get() < 2 {
            tokio::time::sleep(KEEP_ALIVE_INTERVAL / 10).await;
        }
    });
}
