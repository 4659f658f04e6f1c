//! One page of plots: cold starts by class, replicas over time, outcomes over time.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, DrawingArea, GREEN, IntoDrawingArea, LineSeries, MAGENTA,
    RED, RGBColor, SVGBackend, WHITE,
};
use thiserror::Error;
use tree::Class;

use crate::evidence::{Call, Ending};
use crate::report::class_name;
use crate::run::Found;
use crate::table::word;

const SIZE: (u32, u32) = (900, 1050);
const PANELS: usize = 3;
const MARGIN: u32 = 12;
const LABELS: u32 = 45;

/// Why a page can't be drawn.
#[derive(Debug, Error)]
#[error("cannot draw {}: {cause}", file.display())]
pub(crate) struct PlotError {
    file: PathBuf,
    cause: String,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// A named line.
struct Line {
    name: String,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// One panel.
struct Panel<'a> {
    title: &'a str,
    across: &'a str,
    lines: Vec<Line>,
}

/// Draws the page.
pub(crate) fn draw(file: &Path, found: &Found) -> Result<(), PlotError> {
    let failed = |cause: String| PlotError { file: file.to_owned(), cause };
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(error.to_string()))?;
    let panels = [
        Panel {
            title: "cold calls whose first token came within",
            across: "s",
            lines: cold(found),
        },
        Panel { title: "replicas", across: "s", lines: replicas(found) },
        Panel { title: "calls a second by outcome", across: "s", lines: outcomes(found) },
    ];
    for (area, panel) in root.split_evenly((PANELS, 1)).iter().zip(panels) {
        panel.draw(area).map_err(failed)?;
    }
    root.present().map_err(|error| failed(error.to_string()))
}

impl Panel<'_> {
    fn draw(self, area: &Area) -> Result<(), String> {
        let (wide, high) = (self.range(|point| point.0), self.range(|point| point.1));
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 18))
            .margin(MARGIN)
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(wide, high)
            .map_err(|error| error.to_string())?;
        chart.configure_mesh().x_desc(self.across).draw().map_err(|error| error.to_string())?;
        for line in self.lines {
            let color = line.color;
            chart
                .draw_series(LineSeries::new(line.points, &color))
                .map_err(|error| error.to_string())?
                .label(line.name)
                .legend(move |(x, y)| {
                    plotters::prelude::PathElement::new(vec![(x, y), (x + 16, y)], color)
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|error| error.to_string())
    }

    fn range(&self, part: impl Fn(&(f64, f64)) -> f64) -> Range<f64> {
        let values = self.lines.iter().flat_map(|line| &line.points).map(part);
        0.0..values.fold(1.0, f64::max) * 1.05
    }
}

fn cold(found: &Found) -> Vec<Line> {
    let classes = [(Class::Urgent, RED), (Class::Interactive, BLUE), (Class::Series, GREEN)];
    classes.into_iter().map(|(class, color)| cold_line(found, class, color)).collect()
}

fn cold_line(found: &Found, class: Class, color: RGBColor) -> Line {
    let own = |call: &&Call| {
        call.class == class && call.ending == Ending::Served && found.warmth.is_cold(call)
    };
    let calls = found.calls.iter().filter(own);
    let mut times: Vec<Duration> =
        calls.filter_map(|call| Some(call.first?.saturating_sub(call.at))).collect();
    times.sort();
    let count = times.len() as f64;
    let points =
        times.iter().enumerate().map(|(n, time)| (time.as_secs_f64(), (n as f64 + 1.0) / count));
    Line { name: class_name(class).to_owned(), color, points: points.collect() }
}

fn replicas(found: &Found) -> Vec<Line> {
    let totals = || found.samples.totals.iter().filter(|total| total.at >= found.start);
    let since = |at: Duration| (at - found.start).as_secs_f64();
    let loaded = totals().map(|total| (since(total.at), total.loaded as f64)).collect();
    let decided = totals().map(|total| (since(total.at), total.decided as f64)).collect();
    vec![
        Line { name: "loaded".to_owned(), color: BLUE, points: loaded },
        Line { name: "decided".to_owned(), color: BLACK, points: decided },
    ]
}

fn outcomes(found: &Found) -> Vec<Line> {
    let endings = [
        (Ending::Served, GREEN),
        (Ending::NotRun, BLUE),
        (Ending::Unknown, MAGENTA),
        (Ending::Cut, RED),
        (Ending::Silent, BLACK),
    ];
    endings.into_iter().map(|(ending, color)| outcome_line(found, ending, color)).collect()
}

fn outcome_line(found: &Found, ending: Ending, color: RGBColor) -> Line {
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for call in &found.calls {
        let second = call.at.saturating_sub(found.start).as_secs();
        *seconds.entry(second).or_default() += u32::from(call.ending == ending);
    }
    let points = seconds.into_iter().map(|(second, count)| (second as f64, f64::from(count)));
    Line { name: word(ending).to_owned(), color, points: points.collect() }
}
