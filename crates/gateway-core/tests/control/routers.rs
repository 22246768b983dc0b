//! What routers are told of changes, loads and caches.

use super::*;

#[test]
fn a_router_is_told_what_changed_and_how_old_a_name_is() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.name_weights(leader, 2);
    cluster.run(3 * SECOND);
    let connection = ConnectionId(1);
    cluster.link_router(leader, connection, "10.0.1.1:80");
    let now = cluster.now;
    let fetch = Message::Fetch {
        since: 0,
        source_revision: 0,
    };
    cluster.core(leader).on_router(now, connection, fetch);
    cluster.settle();
    let told = cluster.to_routers.iter().find_map(|(_, _, message)| {
        let Message::Changes(changes) = message else {
            return None;
        };
        changes.weights.items.first().cloned()
    });
    let told = told.expect("the name is in the answer");
    assert_eq!(told.version, 2);
    assert!(told.age_ms >= 3_000);
}

fn announcements(cluster: &Cluster, to: ConnectionId) -> Vec<u64> {
    let messages = cluster.to_routers.iter().filter(|sent| sent.1 == to);
    messages
        .filter_map(|(_, _, message)| match message {
            Message::Announce(announcement) => Some(announcement.revision),
            _ => None,
        })
        .collect()
}

/// Back ends that all register within a tick changed the state a hundred times, and each router
/// asked for each change: hundreds of routers kept control machines busy with that alone.
#[test]
fn changes_that_come_together_are_announced_together() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let router = ConnectionId(1);
    cluster.link_router(leader, router, "10.1.0.1:80");
    cluster.to_routers.clear();
    for number in 1..=100 {
        cluster.heartbeat(leader, &back_end(number, 1));
    }
    cluster.run(Duration::from_millis(100));
    let announced = announcements(&cluster, router);
    assert!((1..=3).contains(&announced.len()), "{announced:?}");
    let revision = cluster.core(leader).state().revision();
    assert_eq!(announced.last(), Some(&revision), "the last change is told");
}

#[test]
fn a_ping_is_answered_only_while_a_quorum_confirms() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let connection = ConnectionId(1);
    cluster.link_router(leader, connection, "10.0.1.1:80");
    let ping = |cluster: &mut Cluster, sequence| {
        let now = cluster.now;
        let message = Message::Ping { sequence };
        cluster.core(leader).on_router(now, connection, message);
        cluster.run(2 * SECOND);
        let answered = |message: &Message| matches!(message, Message::Pong { sequence: answered, .. } if *answered == sequence);
        let mut messages = cluster.to_routers.iter();
        messages.any(|(_, _, message)| answered(message))
    };
    assert!(ping(&mut cluster, 1));
    cluster.cut.insert(leader);
    assert!(!ping(&mut cluster, 2));
}

#[test]
fn pings_are_answered_also_when_the_leader_is_slow() {
    // With more than 300 ms to a quorum and back nothing was ever confirmed, and routers refused
    // everything after 4.2 s (soak, seed 1201).
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let other = (1..=3).map(address).find(|at| *at != leader).unwrap();
    cluster.delays.insert(leader, Duration::from_millis(200));
    for (at, router) in [(leader, 1), (other, 2)] {
        let connection = ConnectionId(router);
        cluster.link_router(at, connection, "10.0.1.1:80");
        let now = cluster.now;
        let message = Message::Ping { sequence: 7 };
        cluster.core(at).on_router(now, connection, message);
    }
    cluster.run(Duration::from_millis(1_500));
    for router in [1, 2] {
        let answered = cluster.to_routers.iter().any(|(_, to, message)| {
            let is_answer = matches!(message, Message::Pong { sequence: 7, .. });
            is_answer && *to == ConnectionId(router)
        });
        assert!(answered, "router {router}");
    }
    assert_eq!(cluster.leader(), Some(leader), "it goes on leading");
}

#[test]
fn each_router_is_told_the_load_of_the_others() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    let load = |pending, in_flight| LoadEntry {
        key: LoadEntry::key_of("i-1"),
        pending,
        in_flight,
    };
    for (number, own) in [(1, load(10, 2)), (2, load(5, 1))] {
        let connection = ConnectionId(number);
        cluster.link_router(leader, connection, &format!("10.0.1.{number}:80"));
        let now = cluster.now;
        let message = Message::Loads(List::new(vec![own]));
        cluster.core(leader).on_router(now, connection, message);
    }
    cluster.run(Duration::from_millis(150));
    assert_eq!(loads_told(&cluster, 1, &[load(10, 2)]), [load(5, 1)]);
    assert_eq!(loads_told(&cluster, 2, &[load(5, 1)]), [load(10, 2)]);
    // What is not told again counts no longer.
    cluster.run(SECOND);
    assert_eq!(loads_told(&cluster, 1, &[]), []);
    assert_eq!(loads_told(&cluster, 2, &[]), []);
}

/// What a router that reported loads of its `own` makes of all that it was told.
fn loads_told(cluster: &Cluster, to: u64, own: &[LoadEntry]) -> Vec<LoadEntry> {
    let mut told = std::collections::BTreeMap::new();
    for (_, connection, message) in &cluster.to_routers {
        let Message::LoadsOfAll { whole, loads } = message else {
            continue;
        };
        if *connection != ConnectionId(to) {
            continue;
        }
        if *whole != 0 {
            told.clear();
        }
        let others = LoadEntry::without(&loads.items, own);
        told.extend(others.into_iter().map(|entry| (entry.key, entry)));
    }
    let is_busy = |entry: &LoadEntry| entry.pending > 0 || entry.in_flight > 0;
    told.into_values().filter(is_busy).collect()
}

#[test]
fn a_load_that_changes_alone_is_told_alone_and_all_are_told_now_and_then() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    cluster.link_router(leader, ConnectionId(2), "10.0.1.2:80");
    let mut lists = Vec::new();
    for step in 0..40 {
        let loads = (0..90).map(|key| LoadEntry {
            key,
            pending: if key == 7 { step } else { 3 },
            in_flight: 1,
        });
        let message = Message::Loads(List::new(loads.collect()));
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(1), message);
        cluster.run(Duration::from_millis(50));
    }
    for (_, connection, message) in &cluster.to_routers {
        let Message::LoadsOfAll { whole, loads } = message else {
            continue;
        };
        if *connection == ConnectionId(2) {
            lists.push((*whole, loads.items.len()));
        }
    }
    let whole = lists.iter().filter(|list| **list == (1, 90)).count();
    let alone = lists.iter().filter(|list| **list == (0, 1)).count();
    assert_eq!(whole + alone, lists.len(), "{lists:?}");
    assert!((2..=4).contains(&whole), "{whole} in two seconds");
    assert!(alone >= 30, "{alone} in two seconds");
}

#[test]
fn what_a_router_is_told_of_loads_stays_within_its_part_of_the_traffic() {
    // 90 back ends at 20 lists a second were 14 KB/s, all that a node may spend.
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    cluster.link_router(leader, ConnectionId(2), "10.0.1.2:80");
    cluster.to_routers.clear();
    let seconds = 10;
    for step in 0..seconds * 20 {
        let loads = (0..90).map(|key| LoadEntry {
            key,
            pending: step,
            in_flight: 1,
        });
        let message = Message::Loads(List::new(loads.collect()));
        let now = cluster.now;
        let core = cluster.core(leader);
        core.on_router(now, ConnectionId(1), message);
        for router in [1, 2] {
            let sequence = u64::from(step);
            core.on_router(now, ConnectionId(router), Message::Ping { sequence });
        }
        cluster.run(Duration::from_millis(50));
    }
    let told = cluster.to_routers.iter().filter_map(|(_, to, message)| {
        let Message::LoadsOfAll { loads, .. } = message else {
            return None;
        };
        (*to == ConnectionId(2)).then_some(loads.items.len() * LoadEntry::BYTES)
    });
    let bytes: usize = told.sum();
    assert!(
        (50_000..=100_000).contains(&bytes),
        "{bytes} in {seconds} s"
    );
}

#[test]
fn routers_hear_what_the_store_gains_and_that_it_is_lost() {
    let mut cluster = elected(3);
    let leader = cluster.leader().unwrap();
    cluster.link_router(leader, ConnectionId(1), "10.0.1.1:80");
    let key = |part: &str| StoredKey::new("salt", part);
    let store = StoreId::at("10.0.9.1:80");
    let mut told = |news| {
        let now = cluster.now;
        cluster.core(leader).on_store_update(now, store, news);
        cluster.to_routers.clear();
        cluster.run(Duration::from_millis(100));
        let messages = cluster.to_routers.iter();
        messages
            .filter(|(_, _, message)| matches!(message, Message::Stored { .. }))
            .map(|(_, _, message)| message.clone())
            .next_back()
            .unwrap()
    };
    let stored = |known, reset, added: Vec<StoredKey>| Message::Stored {
        store,
        known,
        reset,
        added: List::new(added),
        removed: List::new(Vec::new()),
    };
    assert_eq!(
        told(StoreUpdate::Contents(vec![key("a")])),
        stored(1, 1, vec![key("a")])
    );
    let gained = StoreUpdate::Changed {
        added: vec![key("a"), key("b")],
        removed: Vec::new(),
    };
    assert_eq!(told(gained), stored(1, 0, vec![key("b")]));
    assert_eq!(told(StoreUpdate::Unreachable), stored(0, 1, Vec::new()));
}

fn holder(prefix: u32) -> HolderEntry {
    HolderEntry {
        prefix,
        key: LoadEntry::key_of("i-1"),
    }
}

/// What a router was told of the caches of back ends.
fn told_of_holders(cluster: &Cluster, to: u64) -> Vec<HolderEntry> {
    let told = cluster.to_routers.iter();
    told.filter(|(_, connection, _)| *connection == ConnectionId(to))
        .filter_map(|(_, _, message)| match message {
            Message::Holders(entries) => Some(entries.items.clone()),
            _ => None,
        })
        .flatten()
        .collect()
}

#[rstest]
#[case::by_the_leader(true, vec![holder(7)])]
#[case::by_nobody_else(false, vec![])]
fn what_one_router_learned_of_caches_is_told_to_all_once(
    #[case] at_leader: bool,
    #[case] expected: Vec<HolderEntry>,
) {
    let (mut cluster, machine) = with_two_routers(at_leader);
    let message = Message::Holders(List::new(vec![holder(7)]));
    let now = cluster.now;
    cluster
        .core(machine)
        .on_router(now, ConnectionId(1), message);
    cluster.run(SECOND);
    assert_eq!(told_of_holders(&cluster, 2), expected);
    // It knows, and is told as all are: one message serves them.
    assert_eq!(told_of_holders(&cluster, 1), expected);
}

#[test]
fn what_a_router_is_told_of_caches_stays_within_its_part_of_the_traffic() {
    let (mut cluster, leader) = with_two_routers(true);
    for round in 0..20 {
        let entries = (0..1_000).map(|number| holder(round * 1_000 + number));
        let message = Message::Holders(List::new(entries.collect()));
        let now = cluster.now;
        cluster
            .core(leader)
            .on_router(now, ConnectionId(1), message);
        cluster.run(Duration::from_millis(100));
    }
    let bytes = told_of_holders(&cluster, 2).len() * HolderEntry::BYTES;
    assert!((3_000..=6_000).contains(&bytes), "{bytes} in two seconds");
}
