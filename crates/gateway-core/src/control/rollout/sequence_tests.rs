use super::*;

fn candidate(instance: &str, zone: &str, held: u64, occupancy: f64) -> LoadCandidate {
    LoadCandidate {
        instance: instance.to_owned(),
        zone: zone.to_owned(),
        held,
        occupancy,
    }
}

fn zones(loading: &[(&str, usize)]) -> BTreeMap<String, ZoneLoads> {
    let loads = |loading| ZoneLoads {
        back_ends: 4,
        loading,
    };
    let zones = loading.iter();
    zones
        .map(|(zone, loading)| ((*zone).to_owned(), loads(*loading)))
        .collect()
}

fn names(next: &[LoadCandidate]) -> Vec<&str> {
    next.iter().map(|next| next.instance.as_str()).collect()
}

#[test]
fn one_of_each_zone_the_least_occupied_first() {
    let waiting = vec![
        candidate("a-busy", "a", 1, 0.9),
        candidate("a-idle", "a", 1, 0.1),
        candidate("b-busy", "b", 1, 0.8),
        candidate("b-idle", "b", 1, 0.3),
    ];
    let next = next_to_load(waiting, zones(&[("a", 0), ("b", 0)]), 3);
    assert_eq!(names(&next), ["a-idle", "b-idle", "b-busy"]);
}

#[test]
fn a_zone_that_loads_already_waits_for_the_others() {
    let waiting = vec![
        candidate("a", "a", 1, 0.0),
        candidate("b", "b", 1, 0.5),
        candidate("b-2", "b", 1, 0.6),
    ];
    let next = next_to_load(waiting, zones(&[("a", 2), ("b", 0)]), 2);
    assert_eq!(names(&next), ["b", "b-2"]);
}

#[test]
fn the_oldest_weights_come_first_whatever_the_load() {
    let waiting = vec![
        candidate("newer", "a", 2, 0.0),
        candidate("older", "a", 1, 1.0),
    ];
    let next = next_to_load(waiting, zones(&[("a", 0)]), 1);
    assert_eq!(names(&next), ["older"]);
}

#[test]
fn no_more_than_there_are() {
    let waiting = vec![candidate("a", "a", 1, 0.0)];
    assert_eq!(next_to_load(waiting, BTreeMap::new(), 5).len(), 1);
}
