//! Human-readable output of the operators' commands.

use drumshore_control::{ChangeRecord, StatusReport};
use drumshore_core::Resource;
use drumshore_routing::{CandidateRecord, DecisionRecord};

/// Formats rows as left-aligned columns, two spaces apart.
fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header: Vec<String> = header.iter().map(|title| (*title).to_owned()).collect();
    std::iter::once(&header)
        .chain(rows)
        .map(|row| line(row, &widths))
        .collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}

pub(super) fn resources(resources: &[Resource]) -> String {
    let rows: Vec<Vec<String>> = resources
        .iter()
        .map(|resource| {
            let spec = serde_json::to_value(&resource.spec).unwrap_or_default();
            vec![
                resource.spec.kind().as_str().to_owned(),
                resource.name.clone(),
                resource.version.to_string(),
                resource.changed_by.to_string(),
                spec.get("spec")
                    .map(ToString::to_string)
                    .unwrap_or_default(),
            ]
        })
        .collect();
    table(&["KIND", "NAME", "VERSION", "CHANGED BY", "SPEC"], &rows)
}

pub(super) fn change(change: &ChangeRecord) -> String {
    let verb = if change.resource.is_some() {
        "wrote"
    } else {
        "removed"
    };
    let key = &change.key;
    format!(
        "revision {}: {} {verb} {}/{} (change {})\n",
        change.revision,
        change.operator,
        key.kind.as_str(),
        key.name,
        change.change_id
    )
}

pub(super) fn status(status: &StatusReport) -> String {
    let leader = status
        .leader
        .map_or("none known".to_owned(), |leader| leader.to_string());
    let mut text = format!(
        "replica {} is {}, leader {leader}, term {}, applied {}\n\
         revision {}, {}confirmed by a quorum lately\n\
         voters {:?}, learners {:?}, claims kept {}\n",
        status.replica,
        status.role,
        status.term,
        status.applied,
        status.revision,
        if status.confirmed { "" } else { "NOT " },
        status.voters,
        status.learners,
        status.claims,
    );
    if !status.foreign_disks.is_empty() {
        let replicas = &status.foreign_disks;
        text += &format!("ALARM: another disk under an old number: replicas {replicas:?}\n");
    }
    text += "\n";
    text += &routers(status);
    text += "\n";
    text += &engines(status);
    text
}

fn routers(status: &StatusReport) -> String {
    let rows: Vec<Vec<String>> = status
        .routers
        .iter()
        .map(|router| {
            let behind = status.revision.0.saturating_sub(router.applied_revision.0);
            vec![
                router.name.clone(),
                router.applied_revision.to_string(),
                behind.to_string(),
                router.tenants.to_string(),
            ]
        })
        .collect();
    table(&["ROUTER", "IN FORCE", "BEHIND", "TENANTS"], &rows)
}

fn engines(status: &StatusReport) -> String {
    let rows: Vec<Vec<String>> = status
        .engines
        .iter()
        .map(|engine| {
            vec![
                engine.name.clone(),
                engine.pool.clone(),
                engine.zone.clone(),
                engine.state.clone(),
                engine.incarnation.to_string(),
                engine.weights_version.to_string(),
                engine.reason.clone(),
            ]
        })
        .collect();
    let header = [
        "ENGINE",
        "POOL",
        "ZONE",
        "STATE",
        "INCARNATION",
        "WEIGHTS",
        "REASON",
    ];
    table(&header, &rows)
}

pub(super) fn decision(record: &DecisionRecord) -> String {
    let end = match (&record.error, record.answered) {
        (_, true) => "answered".to_owned(),
        (Some(error), _) => error.to_string(),
        (None, false) => "running, or left".to_owned(),
    };
    let mut text = format!(
        "request {} of tenant {} for model {}: {end}\n\
         {} prompt tokens, configuration revision {}{}\n",
        record.request,
        record.tenant,
        record.model,
        record.prompt_tokens,
        record.revision,
        if record.non_repeatable {
            ", may not be repeated"
        } else {
            ""
        },
    );
    for (number, attempt) in record.attempts.iter().enumerate() {
        let chosen = attempt.chosen.as_ref().map_or("none", |name| name.as_str());
        text += &format!("\nattempt {}: {chosen}: {}\n", number + 1, attempt.reason);
        if !attempt.excluded.is_empty() {
            let names: Vec<&str> = attempt.excluded.iter().map(|name| name.as_str()).collect();
            text += &format!("  excluded after failures: {}\n", names.join(", "));
        }
        if let Some(cached) = attempt.cached_tokens {
            text += &format!("  the engine reported {cached} prompt tokens cached\n");
        }
        if let Some(error) = &attempt.error {
            text += &format!("  failed: {error}\n");
        }
        let rows: Vec<Vec<String>> = attempt.candidates.iter().map(candidate).collect();
        let header = [
            "  CANDIDATE",
            "STATE",
            "INCARNATION",
            "WEIGHTS",
            "CACHED",
            "WAITING",
            "RUNNING",
            "LOAD AGE MS",
            "COST MS",
        ];
        text += &table(&header, &rows);
    }
    text
}

fn candidate(candidate: &CandidateRecord) -> Vec<String> {
    const MICROS_PER_MILLI: u64 = 1_000;
    vec![
        format!("  {}", candidate.engine),
        format!("{:?}", candidate.state).to_lowercase(),
        candidate.incarnation.to_string(),
        candidate.weights_version.to_string(),
        candidate.expected_cached_tokens.to_string(),
        candidate.waiting_tokens.to_string(),
        candidate.running.to_string(),
        candidate.load_age_ms.to_string(),
        (candidate.cost_us / MICROS_PER_MILLI).to_string(),
    ]
}
