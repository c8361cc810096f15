//! CSV files and plots.

use std::fs;
use std::path::PathBuf;

use plotters::prelude::*;

use crate::fit::Line;

/// Errors end the program, so their text is enough.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Where figures go.
fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs/figures")
}

/// Writes rows below a header line.
pub(crate) fn csv(name: &str, header: &str, rows: &[String]) -> Result<()> {
    fs::create_dir_all(folder())?;
    let text = format!("{header}\n{}\n", rows.join("\n"));
    fs::write(folder().join(format!("{name}.csv")), text)?;
    Ok(())
}

/// Draws points and their line as SVG. Text needs no font files.
pub(crate) fn plot(name: &str, x: &str, y: &str, points: &[(f64, f64)], line: Line) -> Result<()> {
    const SIZE: (u32, u32) = (640, 400);
    fs::create_dir_all(folder())?;
    let path = folder().join(format!("{name}.svg"));
    let root = SVGBackend::new(&path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let right = points.iter().map(|p| p.0).fold(0.0, f64::max) * 1.05;
    let top = points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    let ends = [0.0, right].map(|at| (at, line.base + line.slope * at));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    let dots = points.iter().map(|p| Circle::new(*p, 4, RED.filled()));
    chart.draw_series(dots)?;
    root.present()?;
    Ok(())
}
