//! HTTP by `hyper`, `hyper-util` and `gotham`: one pool of connections, one client and one server
//! for both forms of an entry box.
//!
//! [`pool`] keeps connections; [`Client`] makes the product's own calls on them; the gateway's
//! shell uses the pool itself, since each attempt there bounds how long a connection may have
//! rested.

pub mod client;
pub mod pool;
pub mod server;

pub use client::{Answer, AnswerBody, Call, Client, HttpError};
pub use server::{
    BodyError, EVENT_STREAM, ServeOptions, full, read_body, respond, respond_json, serve,
    serve_with, streaming,
};
