//! Line plots over time and horizontal bar plots as inline SVG. Lines differ in dash pattern as well as in colour, so
//! that they remain distinguishable in a black-and-white print.

use std::fmt::Write;

use crate::calendar::Minute;
use crate::calendar::hour_text;
use crate::format::escaped;

/// Width of every plot. All sizes are in SVG user units.
const WIDTH: f64 = 720.0;
/// Height of a line plot.
const LINE_PLOT_HEIGHT: f64 = 260.0;
/// Margin of a line plot for the labels of the value axis.
const LEFT: f64 = 60.0;
const RIGHT: f64 = 16.0;
/// Space for the legend above the lines.
const TOP: f64 = 50.0;
const LEGEND_ROW_HEIGHT: f64 = 18.0;
const LEGEND_COLUMNS: usize = 2;
/// Space above the bars.
const BAR_TOP: f64 = 6.0;
/// Maximum length of a bar's name, in characters.
const BAR_NAME_LIMIT: usize = 48;
/// Margin of a line plot for the labels of the time axis.
const BOTTOM: f64 = 30.0;
const BAR_HEIGHT: f64 = 22.0;
/// Space for the names of the bars.
const BAR_LEFT: f64 = 300.0;
/// Space for the texts at the end of the bars.
const BAR_RIGHT: f64 = 90.0;
/// Number of labels on the time axis.
const TIME_LABELS: usize = 6;
/// Number of intervals between labels on the value axis.
const VALUE_INTERVALS: u32 = 4;
const COLOURS: [&str; 4] = ["#1b4f8a", "#b3470f", "#2e7d4f", "#7a3b8f"];
const DASHES: [&str; 4] = ["", "8 4", "2 3", "10 3 2 3"];

/// A line over time.
pub(crate) struct Line {
    pub(crate) name: String,
    pub(crate) points: Vec<(Minute, f64)>,
}

/// A horizontal bar.
pub(crate) struct Bar {
    pub(crate) name: String,
    pub(crate) value: f64,
    /// Text at the end of the bar.
    pub(crate) label: String,
    pub(crate) is_bad: bool,
}

/// Plots lines over time on a value axis from 0 to the largest value; `value_text` formats the axis labels.
pub(crate) fn line_plot(title: &str, lines: &[Line], value_text: fn(f64) -> String) -> String {
    let times = || lines.iter().flat_map(|line| line.points.iter().map(|(time, _)| *time));
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return String::new();
    };
    let values = lines.iter().flat_map(|line| line.points.iter().map(|(_, value)| *value));
    let highest = values.fold(0.0, f64::max);
    let highest = if highest > 0.0 { highest } else { 1.0 };
    let axes = Axes { first, last, highest };
    let mut svg = svg_header(title, LINE_PLOT_HEIGHT);
    axes.draw(&mut svg, value_text);
    for (index, line) in lines.iter().enumerate() {
        axes.draw_line(&mut svg, line, index);
    }
    svg.push_str("</svg>\n");
    svg
}

/// Plots bars from zero to the right, or to the left for negative values.
pub(crate) fn bar_plot(title: &str, bars: &[Bar]) -> String {
    if bars.is_empty() {
        return String::new();
    }
    let lowest = bars.iter().map(|bar| bar.value).fold(0.0, f64::min);
    let highest = bars.iter().map(|bar| bar.value).fold(0.0, f64::max);
    let span = if highest > lowest { highest - lowest } else { 1.0 };
    let x = |value: f64| BAR_LEFT + (value - lowest) / span * (WIDTH - BAR_LEFT - BAR_RIGHT);
    let height = BAR_TOP + bars.len() as f64 * BAR_HEIGHT;
    let mut svg = svg_header(title, height);
    for (index, bar) in bars.iter().enumerate() {
        let top = BAR_TOP + index as f64 * BAR_HEIGHT;
        let (from, to) = (x(0.0).min(x(bar.value)), x(0.0).max(x(bar.value)));
        let fill = if bar.is_bad { "#b3470f" } else { "#1b4f8a" };
        let width = (to - from).max(1.0);
        let name = escaped(&truncated(&bar.name));
        let label = escaped(&bar.label);
        let text_y = top + BAR_HEIGHT * 0.65;
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{text_y:.1}\" text-anchor=\"end\">{name}</text>\
             <rect x=\"{from:.1}\" y=\"{:.1}\" width=\"{width:.1}\" height=\"{:.1}\" fill=\"{fill}\"/>\
             <text x=\"{:.1}\" y=\"{text_y:.1}\">{label}</text>",
            BAR_LEFT - 8.0,
            top + 3.0,
            BAR_HEIGHT - 6.0,
            to + 6.0,
        );
    }
    let _ = writeln!(
        svg,
        "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{BAR_TOP}\" y2=\"{height:.1}\" stroke=\"#333\"/>",
        x(0.0)
    );
    svg.push_str("</svg>\n");
    svg
}

/// Ranges of a line plot.
struct Axes {
    first: Minute,
    last: Minute,
    highest: f64,
}

impl Axes {
    fn x(&self, time: Minute) -> f64 {
        let span = (self.last - self.first).max(1) as f64;
        LEFT + (time - self.first) as f64 / span * (WIDTH - LEFT - RIGHT)
    }

    fn y(&self, value: f64) -> f64 {
        LINE_PLOT_HEIGHT - BOTTOM - value / self.highest * (LINE_PLOT_HEIGHT - TOP - BOTTOM)
    }

    fn draw(&self, svg: &mut String, value_text: fn(f64) -> String) {
        for step in 0..=VALUE_INTERVALS {
            let value = self.highest * f64::from(step) / f64::from(VALUE_INTERVALS);
            let y = self.y(value);
            let _ = writeln!(
                svg,
                "<line x1=\"{LEFT}\" x2=\"{:.1}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
                WIDTH - RIGHT,
                LEFT - 6.0,
                y + 4.0,
                value_text(value),
            );
        }
        for index in 0..TIME_LABELS {
            let part = (self.last - self.first) * index as u64 / (TIME_LABELS as u64 - 1);
            let time = self.first + part;
            let anchor = if index + 1 == TIME_LABELS { "end" } else { "middle" };
            let _ = writeln!(
                svg,
                "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"{anchor}\">{}</text>",
                self.x(time),
                LINE_PLOT_HEIGHT - 10.0,
                hour_text(time),
            );
            if self.last == self.first {
                break;
            }
        }
    }

    fn draw_line(&self, svg: &mut String, line: &Line, index: usize) {
        let colour = COLOURS[index % COLOURS.len()];
        let dashes = DASHES[index % DASHES.len()];
        let points: Vec<String> = line
            .points
            .iter()
            .map(|(time, value)| format!("{:.1},{:.1}", self.x(*time), self.y(*value)))
            .collect();
        // A polyline with a single point is invisible, so each point is also drawn as a circle.
        for point in &points {
            let (x, y) = point.split_once(',').unwrap_or_default();
            let _ = writeln!(svg, "<circle cx=\"{x}\" cy=\"{y}\" r=\"2.5\" fill=\"{colour}\"/>");
        }
        let points = points.join(" ");
        let column_width = (WIDTH - LEFT - RIGHT) / LEGEND_COLUMNS as f64;
        let legend_x = LEFT + (index % LEGEND_COLUMNS) as f64 * column_width;
        let legend_y = 12.0 + (index / LEGEND_COLUMNS) as f64 * LEGEND_ROW_HEIGHT;
        let _ = writeln!(
            svg,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" \
             stroke-dasharray=\"{dashes}\"/>\
             <line x1=\"{legend_x:.1}\" x2=\"{:.1}\" y1=\"{legend_y:.1}\" y2=\"{legend_y:.1}\" \
             stroke=\"{colour}\" stroke-width=\"2\" stroke-dasharray=\"{dashes}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\">{}</text>",
            legend_x + 24.0,
            legend_x + 30.0,
            legend_y + 4.0,
            escaped(&line.name),
        );
    }
}

/// Truncates a name to [`BAR_NAME_LIMIT`] characters.
fn truncated(name: &str) -> String {
    if name.chars().count() <= BAR_NAME_LIMIT {
        return name.to_owned();
    }
    let kept: String = name.chars().take(BAR_NAME_LIMIT - 1).collect();
    format!("{kept}\u{2026}")
}

fn svg_header(title: &str, height: f64) -> String {
    let title = escaped(title);
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {height}\" role=\"img\" aria-label=\"{title}\" \
         xmlns=\"http://www.w3.org/2000/svg\">\n<title>{title}</title>\n"
    )
}
