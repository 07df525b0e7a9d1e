//! A plot of latency against percentile, as SVG.

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::IntoFont;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::load::histogram::Latency;
use crate::load::result::Report;

const SIZE: (u32, u32) = (960, 600);
const TEXT: &str = "sans-serif";

/// Percentiles as the number of nines: 0 is the smallest, 1 is 90 in 100, 3 is 999 in 1,000.
const NINES: f64 = 3.0;
const STEPS: u32 = 60;

/// Where the lines' names begin, from the upper left corner.
const LEGEND: (i32, i32) = (80, 50);
const LEGEND_STEP: i32 = 16;

/// A line of the plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws first-byte latency of each target in each run. `runs` gives names and results.
///
/// # Errors
///
/// What the drawing library found.
pub fn draw(runs: &[(String, Report)]) -> Result<String, String> {
    let lines: Vec<Line> = runs.iter().flat_map(lines).collect();
    let points = lines.iter().flat_map(|line| &line.points);
    let top = points.map(|(_, millis)| *millis).fold(1.0, f64::max);
    let mut svg = String::new();
    render(&mut svg, &lines, top).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn lines((name, report): &(String, Report)) -> Vec<Line> {
    let mut targets: Vec<&str> = report.rows.iter().map(|row| row.target.as_str()).collect();
    targets.sort_unstable();
    targets.dedup();
    let line = |target: &str| {
        let mut latency = Latency::default();
        for row in report.rows.iter().filter(|row| row.target == target) {
            latency.merge(&row.first);
        }
        Line {
            name: format!("{name}: {target} (n={})", latency.count()),
            points: points(&latency),
        }
    };
    targets.into_iter().map(line).collect()
}

fn points(latency: &Latency) -> Vec<(f64, f64)> {
    let steps = (0..=STEPS).map(|step| f64::from(step) / f64::from(STEPS) * NINES);
    steps
        .filter_map(|nines| Some((nines, latency.quantile(1.0 - 10_f64.powf(-nines))?)))
        .collect()
}

type Fault<'a> = plotters::drawing::DrawingAreaErrorKind<
    <SVGBackend<'a> as plotters::backend::DrawingBackend>::ErrorType,
>;

fn render<'a>(svg: &'a mut String, lines: &[Line], top: f64) -> Result<(), Fault<'a>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .caption("first byte, from the intended moment", (TEXT, 18))
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..NINES, 0.0..top * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("milliseconds")
        .x_label_formatter(&|nines| format!("{:.1}", 100.0 * (1.0 - 10_f64.powf(-nines))))
        .draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).stroke_width(2);
        chart.draw_series(LineSeries::new(line.points.iter().copied(), colour))?;
        let y = LEGEND.1 + LEGEND_STEP * i32::try_from(number).unwrap_or(0);
        let mark = vec![(LEGEND.0, y), (LEGEND.0 + 20, y)];
        area.draw(&PathElement::new(mark, colour))?;
        let text = plotters::element::Text::new(
            line.name.clone(),
            (LEGEND.0 + 26, y - 6),
            (TEXT, 12).into_font().color(&BLACK),
        );
        area.draw(&text)?;
    }
    area.present()
}
