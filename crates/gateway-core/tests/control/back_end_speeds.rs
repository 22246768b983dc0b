//! Speeds of back ends: what the leader learns from routers, and what survives it.

use std::collections::BTreeMap;
use std::time::Instant;

use drumshore_gateway_core::back_end_speed::{SpeedNews, SpeedSample};
use drumshore_gateway_core::{Heartbeat, InstanceId};
use drumshore_wire::Blob;

use super::*;

const BACK_ENDS: u8 = 9;
/// Time factors of the back ends, in turn.
const FACTORS: [f64; 3] = [0.6, 1.0, 1.6];

fn key(number: u8) -> u32 {
    LoadEntry::key_of(&format!("i-{number}"))
}

/// A report of one answer of each back end.
fn report() -> Message {
    let sample = |number: u8| {
        let factor = FACTORS[usize::from(number) % FACTORS.len()];
        let took = Duration::from_millis(100).mul_f64(factor);
        SpeedSample::new(key(number), 4_000, 0, took)
    };
    Message::SpeedSamples(List::new((1..=BACK_ENDS).map(sample).collect()))
}

/// A cluster with back ends, and one router at each machine.
fn cluster_with_routers() -> Cluster {
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    for number in 1..=BACK_ENDS {
        cluster.heartbeat(leader, &back_end(number, 1));
    }
    for number in 1..=3 {
        let router = format!("10.1.0.{number}:80");
        cluster.link_router(address(number), ConnectionId(number.into()), &router);
    }
    cluster.run(SECOND);
    cluster
}

/// The routers report for some seconds to the leader.
fn report_for(cluster: &mut Cluster, seconds: u32) {
    for _ in 0..seconds * 10 {
        let leader = cluster.leader().unwrap();
        let now = cluster.now;
        let connection = ConnectionId(leader.octets()[3].into());
        cluster.core(leader).on_router(now, connection, report());
        let ping = Message::Ping { sequence: 1 };
        for number in 1..=3 {
            if let Some(core) = cluster.running(address(number)) {
                core.on_router(now, ConnectionId(number.into()), ping.clone());
            }
        }
        cluster.run(Duration::from_millis(100));
    }
}

fn news(cluster: &Cluster, to: u8) -> impl Iterator<Item = &SpeedNews> {
    let sent = cluster.to_routers.iter();
    sent.filter_map(move |(_, connection, message)| match message {
        Message::BackEndSpeeds(news) if *connection == ConnectionId(to.into()) => Some(news),
        _ => None,
    })
}

/// The time factors that a router was sent, by key.
fn factors_at(cluster: &Cluster, router: u8) -> BTreeMap<u32, f64> {
    let mut factors = BTreeMap::new();
    for news in news(cluster, router) {
        if let Some(range) = news.range() {
            factors.retain(|key, _| !range.contains(key));
        }
        let entries = news.back_ends.items.iter();
        factors.extend(entries.map(|entry| (entry.back_end, entry.time_factor())));
    }
    factors
}

fn assert_known(factors: &BTreeMap<u32, f64>) {
    let mean = FACTORS.iter().sum::<f64>() / 3.0;
    for number in 1..=BACK_ENDS {
        let truth = FACTORS[usize::from(number) % FACTORS.len()] / mean;
        let known = factors.get(&key(number)).copied().unwrap_or(1.0);
        assert!((known / truth - 1.0).abs() < 0.15, "{known} for {truth}");
    }
}

#[test]
fn routers_of_all_machines_are_sent_what_one_router_reported() {
    let mut cluster = cluster_with_routers();
    report_for(&mut cluster, 10);
    for router in 1..=3 {
        assert_known(&factors_at(&cluster, router));
    }
}

#[test]
fn a_new_leader_sends_what_the_former_one_had_learned() {
    let mut cluster = cluster_with_routers();
    report_for(&mut cluster, 10);
    let former = cluster.leader().unwrap();
    cluster.kill(former);
    cluster.run(4 * SECOND);
    let leader = cluster.leader().unwrap();
    assert_ne!(leader, former);
    cluster.link_router(leader, ConnectionId(9), "10.1.0.9:80");
    cluster.run(6 * SECOND);
    assert_known(&factors_at(&cluster, 9));
}

/// The former leader learned from its own reports only; when it follows again, it takes over those of its successor.
#[test]
fn a_machine_that_is_not_the_leader_ignores_reports() {
    let mut cluster = cluster_with_routers();
    let leader = cluster.leader().unwrap();
    let follower = (1..=3).map(address).find(|at| *at != leader).unwrap();
    let now = cluster.now;
    for _ in 0..100 {
        let core = cluster.core(follower);
        core.on_router(now, ConnectionId(1), report());
    }
    assert!(cluster.core(follower).back_end_speeds().is_empty());
}

#[test]
fn an_incarnation_that_returns_under_its_key_is_not_believed_to_be_as_before() {
    let mut cluster = cluster_with_routers();
    report_for(&mut cluster, 10);
    let leader = cluster.leader().unwrap();
    let instance = "i-3".into();
    cluster.submit(
        leader,
        drumshore_gateway_core::Command::Deregister { instance },
    );
    cluster.run(6 * SECOND);
    cluster.heartbeat(leader, &back_end(3, 1));
    cluster.run(6 * SECOND);
    for router in 1..=3 {
        assert_eq!(factors_at(&cluster, router).get(&key(3)), None);
    }
}

/// An earlier build refuses news of a kind that it cannot decode; between builds that can, none is refused.
#[test]
fn speeds_are_news_that_other_machines_forward() {
    let mut cluster = cluster_with_routers();
    let leader = cluster.leader().unwrap();
    let follower = (1..=3).map(address).find(|at| *at != leader).unwrap();
    let message = Message::BackEndSpeeds(SpeedNews {
        first: 0,
        ..SpeedNews::default()
    });
    let news = Message::News(Blob::new(message.encode()));
    assert!(news.is_measurement());
    cluster.to_routers.clear();
    let now = cluster.now;
    cluster.core(follower).on_control(now, news);
    cluster.settle();
    assert!(cluster.to_routers.iter().any(|sent| sent.2 == message));
    assert_eq!(cluster.news_refused, 0);
}

/// Load: 1,000 routers report 96 samples a second each on 10,000 back ends. The leader must
/// not send more to routers than for a small fleet; the time that it takes is printed.
#[test]
fn a_large_fleet_is_learned_at_little_cost() {
    const ALL: usize = 10_000;
    let mut cluster = cluster_with_leader(3);
    let leader = cluster.leader().unwrap();
    let now = cluster.now;
    for number in 0..ALL {
        let ticket = cluster.ticket();
        let heartbeat = Heartbeat {
            instance: InstanceId::new(&format!("b-{number}")),
            address: format!("10.{}.{}.1:80", number / 200, number % 200),
            ..back_end(1, 1)
        };
        let core = cluster.core(leader);
        core.on_heartbeat(now, ticket, &heartbeat);
    }
    cluster.run(SECOND);
    cluster.link_router(leader, ConnectionId(1), "10.1.0.1:80");
    let keys: Vec<u32> = (0..ALL)
        .map(|number| LoadEntry::key_of(&format!("b-{number}")))
        .collect();
    let mut next = 0;
    let mut spent = Duration::ZERO;
    cluster.to_routers.clear();
    for _ in 0..4 {
        for _ in 0..1_000 {
            let samples = (0..48).map(|_| {
                next = (next + 7_919) % ALL;
                let took = Duration::from_millis(100).mul_f64(FACTORS[next % 3]);
                SpeedSample::new(keys[next], 4_000, 0, took)
            });
            let message = Message::SpeedSamples(List::new(samples.collect()));
            let now = cluster.now;
            let core = cluster.core(leader);
            let started = Instant::now();
            core.on_router(now, ConnectionId(1), message);
            spent += started.elapsed();
        }
        cluster.run(Duration::from_millis(500));
    }
    let bytes: usize = news(&cluster, 1)
        .map(|news| Message::BackEndSpeeds(news.clone()).encode().len())
        .sum();
    assert!(bytes / 2 < 1_000, "{bytes} bytes in 2 s");
    println!("learned from 192,000 samples in {spent:?}, sent {bytes} bytes in 2 s");
}
