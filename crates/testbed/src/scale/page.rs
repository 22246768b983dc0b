//! Tables and a plot for the capacity page, from a scale run's report.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use super::fit::Line;
use super::{ScaleReport, StageReport};

/// A measured quantity and the size that it grows with.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    grows_with: &'static str,
    size: fn(&StageReport) -> f64,
    value: fn(&StageReport) -> f64,
}

fn workers(stage: &StageReport) -> f64 {
    stage.size.workers as f64
}

fn nodes(stage: &StageReport) -> f64 {
    stage.size.nodes as f64
}

const QUANTITIES: &[Quantity] = &[
    Quantity {
        name: "router: bytes received",
        unit: "B/s",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.hollow_received_bytes,
    },
    Quantity {
        name: "router: processor",
        unit: "% of a core",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.router.cpu_percent,
    },
    Quantity {
        name: "router: resident memory",
        unit: "MB",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.router.resident_mb,
    },
    Quantity {
        name: "router: bytes at a start in a herd",
        unit: "B",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.herd_bytes_per_router,
    },
    Quantity {
        name: "herd of all routers until configured",
        unit: "s",
        grows_with: "nodes",
        size: nodes,
        value: |stage| stage.herd_seconds,
    },
    Quantity {
        name: "leader: processor",
        unit: "% of a core",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.leader.cpu_percent,
    },
    Quantity {
        name: "leader: resident memory",
        unit: "MB",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.leader.resident_mb,
    },
    Quantity {
        name: "leader: bytes sent",
        unit: "B/s",
        grows_with: "nodes",
        size: nodes,
        value: |stage| stage.leader.sent_bytes,
    },
    Quantity {
        name: "follower: processor",
        unit: "% of a core",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.follower.cpu_percent,
    },
    Quantity {
        name: "follower: resident memory",
        unit: "MB",
        grows_with: "workers",
        size: workers,
        value: |stage| stage.follower.resident_mb,
    },
    Quantity {
        name: "follower: bytes sent",
        unit: "B/s",
        grows_with: "nodes",
        size: nodes,
        value: |stage| stage.follower.sent_bytes,
    },
    Quantity {
        name: "a change until in force everywhere, longest of 20",
        unit: "ms",
        grows_with: "nodes",
        size: nodes,
        value: |stage| stage.in_force_ms.1,
    },
];

/// The tables, as Markdown.
pub(super) fn tables(report: &ScaleReport) -> String {
    let mut text = String::from("| quantity | unit |");
    for stage in &report.stages {
        let size = stage.size;
        // Writing into a string does not fail.
        let _ = write!(
            text,
            " {} nodes, {} workers, {} tenants |",
            size.nodes, size.workers, size.tenants
        );
    }
    text.push_str(" slope | fit |\n| --- | --- |");
    text.push_str(&" ---: |".repeat(report.stages.len() + 2));
    text.push('\n');
    for quantity in QUANTITIES {
        text.push_str(&row(quantity, report));
    }
    text
}

fn row(quantity: &Quantity, report: &ScaleReport) -> String {
    let points: Vec<(f64, f64)> = report
        .stages
        .iter()
        .map(|stage| ((quantity.size)(stage), (quantity.value)(stage)))
        .collect();
    let line = Line::fit(&points);
    let mut text = format!("| {} | {} |", quantity.name, quantity.unit);
    for (_, value) in &points {
        let _ = write!(text, " {} |", rounded(*value));
    }
    let _ = writeln!(
        text,
        " {} + {} for each of {} | {:.2} |",
        rounded(line.base),
        rounded(line.slope),
        quantity.grows_with,
        line.r_squared
    );
    text
}

fn rounded(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}

/// Every quantity over its size, each as a share of its largest value.
pub(super) fn plot(report: &ScaleReport, file: &Path) -> Result<(), String> {
    let error = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(file, (1_000, 620)).into_drawing_area();
    area.fill(&WHITE).map_err(|failure| error(&failure))?;
    let largest = report.stages.iter().map(workers).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..1.1_f64)
        .map_err(|failure| error(&failure))?;
    chart
        .configure_mesh()
        .x_desc("workers (nodes and tenants grow in proportion)")
        .y_desc("share of the largest value")
        .draw()
        .map_err(|failure| error(&failure))?;
    for (number, quantity) in QUANTITIES.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let values: Vec<f64> = report.stages.iter().map(quantity.value).collect();
        let top = values.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let points: Vec<(f64, f64)> = report
            .stages
            .iter()
            .zip(&values)
            .map(|(stage, value)| (workers(stage), value / top))
            .collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|failure| error(&failure))?
            .label(quantity.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .position(SeriesLabelPosition::LowerRight)
        .draw()
        .map_err(|failure| error(&failure))?;
    area.present().map_err(|failure| error(&failure))
}
