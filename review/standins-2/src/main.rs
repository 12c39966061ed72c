//! Plays the scripted cases of the review: `review-case PLAY FOLDER`.
//!
//! Each play starts the project's daemon as processes before stand-ins of the platform's store, of
//! servers and of clients, on loopback addresses. It exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if it could not run.

mod daemon;
mod hidden_order;
mod http;
mod json;
mod play;
mod store;
mod sys;
mod turned_away;
mod unsent;

use std::process::ExitCode;

use play::{Play, Verdict};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder] = words.as_slice() else {
        eprintln!("usage: review-case PLAY FOLDER");
        return ExitCode::from(2);
    };
    let play = match Play::start(folder) {
        Ok(play) => play,
        Err(e) => {
            eprintln!("review-case: {folder}: {e}");
            return ExitCode::from(2);
        }
    };
    let played = match name.as_str() {
        "hidden-order" => hidden_order::run(&play),
        "unsent" => unsent::run(&play),
        "turned-away" => turned_away::run(&play),
        _ => Err(std::io::Error::other(format!("no play {name}"))),
    };
    let verdict = played.unwrap_or_else(|e| {
        play.note(&format!("the play could not run: {e}"));
        Verdict::Unplayed
    });
    play.end();
    ExitCode::from(verdict.code())
}
