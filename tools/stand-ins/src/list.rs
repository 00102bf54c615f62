use gumdrop::Options;
use rouille::{Request, Response};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug, Options)]
pub struct Place {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", required, no_short)]
    http: String,
    #[options(
        help = "file with one target a line, JSON; read anew for each page",
        required,
        no_short
    )]
    file: String,
    #[options(help = "targets on a page", default = "10", no_short)]
    page: usize,
    #[options(help = "each page takes this long", default = "100", no_short)]
    slow_ms: u64,
    #[options(help = "pages a second, at most", default = "8", no_short)]
    rate: usize,
    #[options(
        help = "file whose word is its trouble: slow MS, rate N, down, empty, less",
        no_short
    )]
    trouble: Option<String>,
}

pub fn run(place: Place) -> Result<(), String> {
    let served: Mutex<Vec<Instant>> = Mutex::new(Vec::new());
    let http = place.http.clone();
    rouille::start_server(http, move |request| serve(&place, &served, request))
}

fn serve(place: &Place, served: &Mutex<Vec<Instant>>, request: &Request) -> Response {
    let trouble = place.trouble.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
    let trouble = trouble.unwrap_or_default();
    let (word, number) = trouble.trim().split_once(' ').unwrap_or((trouble.trim(), "0"));
    let number: u64 = number.parse().unwrap_or(0);
    let rate = if word == "rate" { number as usize } else { place.rate };
    if !is_within_rate(rate, served) {
        return Response::text("too many")
            .with_status_code(429)
            .with_additional_header("Retry-After", "1");
    }
    let slow_ms = if word == "slow" { number } else { place.slow_ms };
    std::thread::sleep(Duration::from_millis(slow_ms));
    match word {
        "down" => return Response::text("out of order").with_status_code(500),
        "empty" => {
            return Response::from_data("application/json", "{\"targets\":[],\"next\":null}");
        }
        _ => {}
    }
    let Ok(text) = std::fs::read_to_string(&place.file) else {
        return Response::text("no list").with_status_code(500);
    };
    let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    let from = request.get_param("cursor").and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    let to = (from + place.page).min(lines.len());
    let rows = lines.get(from..to).unwrap_or_default().join(",");
    let next = if to < lines.len() && word != "less" { format!("\"{to}\"") } else { "null".into() };
    Response::from_data("application/json", format!("{{\"targets\":[{rows}],\"next\":{next}}}"))
}

fn is_within_rate(rate: usize, served: &Mutex<Vec<Instant>>) -> bool {
    let Ok(mut served) = served.lock() else { return false };
    let now = Instant::now();
    served.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
    let within = served.len() < rate;
    if within {
        served.push(now);
    }
    within
}
