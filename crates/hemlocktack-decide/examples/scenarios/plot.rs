//! Plots goodput and waiting calls over time, one panel per run.

use std::path::Path;

use plotters::prelude::*;

use crate::report::{Point, Row};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

const PANEL: (u32, u32) = (420, 240);
const COLUMNS: usize = 3;

pub(crate) fn write(path: &Path, rows: &[Row]) -> Result<()> {
    let lines = rows.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * lines as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((lines, COLUMNS));
    for (row, panel) in rows.iter().zip(&panels) {
        draw(row, panel)?;
    }
    root.present()?;
    Ok(())
}

fn draw(row: &Row, panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Result<()> {
    let last = row.series.last().map_or(1.0, |point| point.at_secs);
    let highest = |value: fn(&Point) -> f64| row.series.iter().map(value).fold(1.0, f64::max) * 1.1;
    let goodput = |point: &Point| point.goodput_per_sec;
    let waiting = |point: &Point| f64::from(point.waiting);
    let title = format!("{} / {} / {}", row.scenario, row.deployment, row.policy);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 13))
        .margin(6)
        .x_label_area_size(28)
        .y_label_area_size(42)
        .right_y_label_area_size(42)
        .build_cartesian_2d(0.0..last, 0.0..highest(goodput))?
        .set_secondary_coord(0.0..last, 0.0..highest(waiting));
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("answers/s")
        .draw()?;
    chart.configure_secondary_axes().y_desc("waiting").draw()?;
    let points = |value: fn(&Point) -> f64| {
        let series = row.series.iter();
        series.map(move |point| (point.at_secs, value(point)))
    };
    chart.draw_series(LineSeries::new(points(goodput), &BLUE))?;
    chart.draw_secondary_series(LineSeries::new(points(waiting), &RED))?;
    Ok(())
}
