//! What one decision costs, in both forms of an entry box, by the number of endpoints.

#[path = "../../tests/gateway/fixtures.rs"]
mod fixtures;
mod gateway;
mod keyed;

criterion::criterion_main!(gateway::benches, keyed::benches);
