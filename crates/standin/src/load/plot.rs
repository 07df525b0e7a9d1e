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
const FONT: &str = "sans-serif";

/// The right end of the percentile axis, as a number of nines: 1 is p90, 3 is p99.9; 0 is the
/// minimum.
const MAX_NINES: f64 = 3.0;
const STEPS: u32 = 60;

/// Position of the legend from the upper left corner, in pixels.
const LEGEND: (i32, i32) = (80, 50);
const LEGEND_STEP: i32 = 16;

/// A line in the plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the first-byte latency of each target in each run. `runs` holds names and results.
///
/// # Errors
///
/// If the drawing library fails.
pub fn draw(runs: &[(String, Report)]) -> Result<String, String> {
    let lines: Vec<Line> = runs.iter().flat_map(lines).collect();
    let points = lines.iter().flat_map(|line| &line.points);
    let max_millis = points.map(|(_, millis)| *millis).fold(1.0, f64::max);
    let mut svg = String::new();
    render(&mut svg, &lines, max_millis).map_err(|error| error.to_string())?;
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
    let steps = (0..=STEPS).map(|step| f64::from(step) / f64::from(STEPS) * MAX_NINES);
    steps
        .filter_map(|nines| Some((nines, latency.quantile(1.0 - 10_f64.powf(-nines))?)))
        .collect()
}

type DrawError<'a> = plotters::drawing::DrawingAreaErrorKind<
    <SVGBackend<'a> as plotters::backend::DrawingBackend>::ErrorType,
>;

fn render<'a>(svg: &'a mut String, lines: &[Line], max_millis: f64) -> Result<(), DrawError<'a>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .caption("first byte, from the scheduled time", (FONT, 18))
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..MAX_NINES, 0.0..max_millis * 1.05)?;
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
            (FONT, 12).into_font().color(&BLACK),
        );
        area.draw(&text)?;
    }
    area.present()
}
