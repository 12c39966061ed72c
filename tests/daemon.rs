//! Real boxes through their public faces, with kills, freezes and stops.

mod support;

use std::time::Duration;

use gotham::hyper::{Method, StatusCode};
use magpiemoor::cli::observe::fetch_status;
use magpiemoor::http::{Answer, Call};
use magpiemoor::keyed::daemon::callers::problem::Problem;
use magpiemoor_lab::keyed::caller::{
    Ended, Received, Wanted, faults, follow, follow_to_end, service_call,
};
use magpiemoor_lab::keyed::engine::{Engine, Fault};
use magpiemoor_lab::keyed::fleet::{MODEL, ONCE_CALL};
use magpiemoor_lab::keyed::platform::Faults;
use rstest::rstest;
use serde_json::{Value, json};
use support::{PATIENCE, Running, size, start, start_without_bundle};

const PROMPT: &str = "the statement of the harbour bakery, with all that it bought in the month";

async fn post(
    running: &Running,
    path: &str,
    headers: &[(&'static str, &str)],
    body: String,
) -> Answer {
    let address = running.callers(0);
    let mut call = Call::new(Method::POST, &address, path).body(body);
    for (name, value) in headers {
        call = call.header(name, *value);
    }
    running.client.send(call, PATIENCE).await.unwrap()
}

fn problem(answer: &Answer) -> Problem {
    assert_eq!(
        answer.header("content-type"),
        Some("application/problem+json"),
        "{}",
        answer.text()
    );
    serde_json::from_slice(&answer.body).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_its_engine_and_its_box() {
    let mut running = start(&size(&["north", "south"], 2, 3)).await;
    let wanted = Wanted::new("north~answer", PROMPT, 150);
    let mut received = Received::default();
    let address = running.callers(0);
    let ended = follow(&running.client, &address, &wanted, &mut received, |_| {
        received_enough(&running, 20)
    })
    .await;
    assert_eq!(ended, Ended::Cut);
    let busy = running
        .engines
        .iter()
        .position(|e| e.streams() > 0)
        .unwrap();
    running.engines[busy].change(|b| b.break_after = Some(0));
    running.boxes[0].kill();
    let others = running.all_callers()[1..].to_vec();
    let mut whole = received;
    for turn in 0..30 {
        let at = &others[turn % others.len()];
        if follow(&running.client, at, &wanted, &mut whole, |_| true).await == Ended::Whole {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(
        faults(&whole, &wanted, &running.engine_names()),
        None,
        "{:?}",
        whole.problem
    );
}

fn received_enough(running: &Running, tokens: u64) -> bool {
    running
        .engines
        .iter()
        .map(Engine::tokens_produced)
        .sum::<u64>()
        < tokens
}

#[rstest]
#[case::stalled(Fault::Stalled)]
#[case::frozen(Fault::Frozen)]
#[case::duplicate(Fault::Duplicate)]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_misbehaves(#[case] fault: Fault) {
    let running = start(&size(&["north"], 2, 2)).await;
    let wanted = Wanted::new("north~answer", PROMPT, 120);
    let engines = running.engines.clone();
    let mut received = Received::default();
    let mut count = 0;
    let ended = follow(
        &running.client,
        &running.callers(0),
        &wanted,
        &mut received,
        |ids| {
            let before = count;
            count += ids.len();
            if before <= 20
                && count > 20
                && let Some(engine) = engines.iter().find(|e| e.streams() > 0)
            {
                engine.change(|b| {
                    b.faults.insert(fault);
                });
            }
            true
        },
    )
    .await;
    assert_eq!(ended, Ended::Whole, "{:?}", received.problem);
    assert_eq!(faults(&received, &wanted, &running.engine_names()), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn output_of_another_stream_is_never_passed_on() {
    let running = start(&size(&["north"], 2, 2)).await;
    running.engines[0].change(|b| {
        b.faults.insert(Fault::Crossed);
    });
    let wanted: Vec<Wanted> = (0..6)
        .map(|n| Wanted::new(&format!("north~answer-{n}"), &format!("{PROMPT} {n}"), 60))
        .collect();
    let addresses = running.all_callers();
    let answers = wanted
        .iter()
        .map(|w| follow_to_end(&running.client, &addresses, w));
    for (received, wanted) in futures(answers).await.iter().zip(&wanted) {
        assert_eq!(
            faults(received, wanted, &running.engine_names()),
            None,
            "{:?}",
            received.problem
        );
    }
}

async fn futures<T>(all: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    futures_util::future::join_all(all).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_box_starts_nothing_when_it_wakes() {
    let running = start(&size(&["north"], 3, 1)).await;
    let key = "north~redeem";
    let home = home_of(&running, key);
    let other = running.callers((home + 1) % 3);
    running.boxes[home].freeze();
    // Whatever the caller is told, the call never runs twice.
    let mut said = Vec::new();
    running
        .wait_for("a final word", async || {
            let answer = service_call(&running.client, &other, ONCE_CALL, Some(key), false).await;
            said.extend(answer.ok().map(|a| a.status));
            said.last() == Some(&StatusCode::OK) || said.last() == Some(&StatusCode::CONFLICT)
        })
        .await;
    running.boxes[home].thaw();
    running
        .wait_for("the woken box to be back", async || {
            fetch_status(&running.client, &running.fleet.boxes[home].operators)
                .await
                .is_ok()
        })
        .await;
    let again = service_call(
        &running.client,
        &running.callers(home),
        ONCE_CALL,
        Some(key),
        false,
    )
    .await;
    assert!(again.is_ok());
    let runs: u32 = running
        .services
        .iter()
        .filter_map(|s| s.runs().get(key).copied())
        .sum();
    assert!(runs <= 1, "{runs} runs");
}

/// The box that holds a key's slice, by the roster in the platform.
fn home_of(running: &Running, key: &str) -> usize {
    let (_, roster) = running.platform.object("rosters/north").unwrap();
    let roster: magpiemoor::schema::Roster = serde_json::from_str(&roster).unwrap();
    let slice = magpiemoor::keyed::node::roster::slice_of(&key.parse().unwrap());
    let home = &roster.slices[usize::from(slice.0)].home;
    running
        .fleet
        .boxes
        .iter()
        .position(|b| b.id == home.as_str())
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_answer() {
    let mut running = start(&size(&["north"], 3, 2)).await;
    let wanted: Vec<Wanted> = (0..6)
        .map(|n| Wanted::new(&format!("north~answer-{n}"), &format!("{PROMPT} {n}"), 120))
        .collect();
    let client = running.client.clone();
    let addresses = running.all_callers();
    let tasks: Vec<_> = wanted
        .iter()
        .enumerate()
        .map(|(n, wanted)| {
            let (client, wanted) = (client.clone(), wanted.clone());
            let address = addresses[n % 3].clone();
            tokio::spawn(async move {
                let mut received = Received::default();
                let ended = follow(&client, &address, &wanted, &mut received, |_| true).await;
                (ended, received)
            })
        })
        .collect();
    let engines = running.engines.clone();
    running
        .wait_for("all answers to have begun", async || {
            engines.iter().map(Engine::tokens_produced).sum::<u64>() > 60
        })
        .await;
    running.boxes[1].terminate();
    for (task, wanted) in tasks.into_iter().zip(&wanted) {
        let (ended, received) = task.await.unwrap();
        assert_eq!(ended, Ended::Whole, "{:?}", received.problem);
        assert_eq!(faults(&received, wanted, &running.engine_names()), None);
    }
    assert_eq!(running.boxes[1].wait(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn deferrable_work_outlives_all_boxes() {
    let mut running = start(&size(&["north"], 2, 1)).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 30 }).to_string();
    let headers = [("organisation", "shop"), ("prefer", "respond-async")];
    let answer = post(&running, "/v1/completions", &headers, body).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{}", answer.text());
    let place = answer.header("location").unwrap().to_owned();
    for process in &mut running.boxes {
        process.kill();
    }
    for n in 0..2 {
        running.boxes[n] = running.start_box(n);
    }
    running
        .wait_for("the result", async || {
            let address = running.callers(1);
            let call = Call::new(Method::GET, &address, &place);
            let answer = running.client.send(call, PATIENCE).await;
            answer.is_ok_and(|a| a.status == StatusCode::OK && a.text().contains("\"done\""))
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsigned_or_altered_bundle_is_refused() {
    let running = start_without_bundle(&size(&["north"], 1, 1)).await;
    let mut signed = running.fleet.signed(&running.fleet.source(1));
    signed.manifest.manifest = signed
        .manifest
        .manifest
        .replace("\"version\":1", "\"version\":9");
    let platform = magpiemoor::cli::platform::Platform::new(&running.fleet.platform);
    let key = magpiemoor_lab::keyed::fleet::KEY_ID.parse().unwrap();
    magpiemoor::cli::bundle::roll_signed(&platform, &signed, &key)
        .await
        .unwrap();
    let operators = running.fleet.boxes[0].operators.clone();
    running
        .wait_for("the refusal", async || {
            let call = Call::new(Method::GET, &operators, "/timeline");
            let line = running.client.send(call, PATIENCE).await;
            line.is_ok_and(|a| a.text().contains("bundle_refused"))
        })
        .await;
    assert_eq!(
        running.get(&operators, "/readyz").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_starts_with_its_peers_bundle_while_the_platform_is_out() {
    let mut running = start(&size(&["north"], 3, 1)).await;
    running.roll(2).await;
    let all_at = async |running: &Running, version| {
        for plan in &running.fleet.boxes {
            let status = fetch_status(&running.client, &plan.operators).await;
            if status.ok().and_then(|s| s.bundle) != Some(version) {
                return false;
            }
        }
        true
    };
    running
        .wait_for("version 2 everywhere", async || all_at(&running, 2).await)
        .await;
    running.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    running.boxes[2].kill();
    running.boxes[2] = running.start_box(2);
    running
        .wait_for("version 2 everywhere again", async || {
            all_at(&running, 2).await
        })
        .await;
}

/// What the remedy names, the headers, the body and the status.
type Mistake<'a> = (&'a str, Vec<(&'static str, &'a str)>, String, u16);

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_its_remedy() {
    let running = start(&size(&["north"], 1, 1)).await;
    let good = json!({ "model": MODEL, "prompt": "hello", "max_tokens": 8 });
    let with = |name: &str, value: Value| {
        let mut body = good.clone();
        body[name] = value;
        body.to_string()
    };
    let shop = ("organisation", "shop");
    let long = with("prompt", json!("x".repeat(2 << 20)));
    let cases: Vec<Mistake> = vec![
        ("JSON", vec![shop], "no json".to_owned(), 400),
        (
            "model",
            vec![shop],
            json!({ "prompt": "x" }).to_string(),
            400,
        ),
        ("no model", vec![shop], with("model", json!("strange")), 404),
        (
            "max_tokens",
            vec![shop],
            with("max_tokens", json!(1_000_000)),
            400,
        ),
        ("max_tokens", vec![shop], with("max_tokens", json!(0)), 400),
        (
            "adapter",
            vec![shop],
            with("adapter", json!("strange")),
            400,
        ),
        ("Organisation", vec![], good.to_string(), 400),
        (
            "Organisation",
            vec![("organisation", "strange")],
            good.to_string(),
            403,
        ),
        (
            "Last-Event-ID",
            vec![shop, ("last-event-id", "strange")],
            good.to_string(),
            400,
        ),
        (
            "Idempotency-Key",
            vec![shop, ("idempotency-key", "a/b")],
            good.to_string(),
            400,
        ),
        (
            "Deadline-Ms",
            vec![shop, ("deadline-ms", "soon")],
            good.to_string(),
            400,
        ),
        (
            "Priority",
            vec![shop, ("priority", "very")],
            good.to_string(),
            400,
        ),
        ("bytes", vec![shop], long, 413),
    ];
    for (names, headers, body, status) in cases {
        let answer = post(&running, "/v1/completions", &headers, body).await;
        let problem = problem(&answer);
        assert_eq!(problem.status, status, "{problem:?}");
        assert!(problem.detail.contains(names), "{names}: {problem:?}");
        assert_eq!(problem.ran, "no");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cursors_and_keys_of_other_requests_are_refused() {
    let running = start(&size(&["north"], 1, 1)).await;
    let good = json!({ "model": MODEL, "prompt": "hello", "max_tokens": 8 });
    let shop = ("organisation", "shop");
    let cursor = [
        shop,
        ("idempotency-key", "north~mine"),
        ("last-event-id", "4097.3.00000000000000ff"),
    ];
    let answer = post(&running, "/v1/completions", &cursor, good.to_string()).await;
    assert_eq!(
        (answer.status, problem(&answer).title.as_str()),
        (StatusCode::CONFLICT, "start_over")
    );
    let key = [shop, ("idempotency-key", "north~mine")];
    assert_eq!(
        post(&running, "/v1/completions", &key, good.to_string())
            .await
            .status,
        StatusCode::OK
    );
    let other = json!({ "model": MODEL, "prompt": "something else", "max_tokens": 8 }).to_string();
    let answer = post(&running, "/v1/completions", &key, other).await;
    assert_eq!(
        (answer.status.as_u16(), problem(&answer).title.as_str()),
        (422, "key_reused")
    );
    let answer = post(
        &running,
        "/v1/services/till/strange",
        &[shop],
        "{}".to_owned(),
    )
    .await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_a_request_harms_nobody() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let running = start(&size(&["north"], 1, 1)).await;
    let mut halves = Vec::new();
    for _ in 0..50 {
        let mut socket = tokio::net::TcpStream::connect(running.callers(0))
            .await
            .unwrap();
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\norganisation: shop\r\ncontent-length: 500\r\n\r\n{\"mod";
        socket.write_all(head.as_bytes()).await.unwrap();
        halves.push(socket);
    }
    let good = json!({ "model": MODEL, "prompt": "hello", "max_tokens": 8 }).to_string();
    let answer = post(
        &running,
        "/v1/completions",
        &[("organisation", "shop")],
        good,
    )
    .await;
    assert_eq!(answer.status, StatusCode::OK);
    let mut text = String::new();
    let mut half = halves.pop().unwrap();
    half.read_to_string(&mut text).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_what_happens() {
    let running = start(&size(&["north"], 2, 1)).await;
    let wanted = Wanted::new("north~answer", PROMPT, 10);
    let received = follow_to_end(&running.client, &running.all_callers(), &wanted).await;
    assert_eq!(faults(&received, &wanted, &running.engine_names()), None);
    let operators = running.fleet.boxes[0].operators.clone();
    assert_eq!(
        running.get(&operators, "/healthz").await.status,
        StatusCode::OK
    );
    assert_eq!(
        running.get(&operators, "/readyz").await.status,
        StatusCode::OK
    );
    let metrics = running.get(&operators, "/metrics").await.text();
    assert!(metrics.contains("magpiemoor_bundle_version 1"), "{metrics}");
    let boxes = running
        .fleet
        .boxes
        .iter()
        .map(|b| b.operators.as_str())
        .collect::<Vec<_>>()
        .join(",");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_magpiemoor"))
        .args([
            "timeline",
            "--boxes",
            &boxes,
            "--subject",
            "north~answer",
            "--json",
        ])
        .output()
        .unwrap();
    let events: Value = serde_json::from_slice(&output.stdout).unwrap();
    let names: Vec<&str> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|e| e["event"].as_str())
        .collect();
    let place = |name| names.iter().position(|n| *n == name);
    assert!(place("generation_started") < place("run_started"));
    assert!(place("run_started") < place("generation_finished"));
}
