//! Reports from a journal.

use magpiemoor_lab::journal::{report, scores};

const SCORE: &str = r#"{"id": "a1", "site": "s", "score": 0.5, "days": [
    {"name": "quiet-1", "score": 1.0, "rules": {}, "prices": [["cloud calls", 10.0, 0.1]]},
    {"name": "trouble-1", "score": 0.2, "rules": {"LOST": 1}, "prices": [["cloud calls", 5.0, 0.1]]},
    {"name": "fresh-1", "score": 0.1, "rules": {}, "prices": []}]}"#;

#[test]
fn scores_are_read_with_their_worst_day_and_drawn() {
    let folder = std::env::temp_dir().join(format!("magpiemoor-{:016x}", rand::random::<u64>()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("1.json"), SCORE).unwrap();
    std::fs::write(folder.join("2.json"), r#"{"id": "run", "score": null}"#).unwrap();
    std::fs::write(folder.join("3.json"), "no json").unwrap();
    let rows = scores(&folder).unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0]["worst_day"], "trouble-1");
    assert_eq!(rows[0]["broken"], 1);
    assert_eq!(rows[0]["store_calls"], 15.0);
    let picture = folder.join("scores.svg");
    report(&folder, picture.to_str().unwrap()).unwrap();
    assert!(std::fs::read_to_string(&picture).unwrap().contains("<svg"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_journal_that_is_not_there_is_an_error_with_its_name() {
    let error = scores(std::path::Path::new("no-such-journal")).unwrap_err();
    assert!(error.contains("no-such-journal"));
}
