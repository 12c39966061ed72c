//! HTTP with `hyper`, `hyper-util` and `gotham`: a connection pool, a client and a server for both
//! kinds of entry box.
//!
//! [`pool`] keeps outgoing connections, which may pass through another process ([`tunnel`]), and [`Client`] sends the product's own calls on them. The
//! gateway's shell uses the pool directly, because each attempt there sets its own limit on how long
//! a reused connection may have been idle.

mod activity;
pub mod answer_end;
pub mod client;
pub mod limits;
pub mod pool;
pub mod read_limit;
pub mod server;
pub mod tunnel;

pub use client::{Answer, AnswerBody, Call, Client, HttpError};
pub use server::{
    BodyError, EVENT_STREAM, ServeOptions, end_with_connection, full, read_body, respond,
    respond_json, serve, serve_with, streaming,
};
