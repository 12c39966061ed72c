//! A small HTTP face for the stand-ins: one function that answers whatever is asked.

use std::collections::HashMap;
use std::future::Future;
use std::panic::RefUnwindSafe;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::FutureExt;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Method, Response, Uri};
use gotham::state::{FromState, State};
use magpiemoor::http;
use tokio::net::TcpListener;

/// The greatest body that a stand-in reads.
const MAX_BODY: usize = 16 << 20;

/// What a stand-in is asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The method.
    pub method: Method,
    /// The path's segments.
    pub path: Vec<String>,
    /// The query's fields.
    pub query: HashMap<String, String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Ask {
    /// The path's segments as a slice of texts, to match on.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// A number in the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// A header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

#[derive(Clone)]
struct Routes<F>(F);

impl<F> RefUnwindSafe for Routes<F> {}

impl<F, T> NewHandler for Routes<F>
where
    F: Fn(Ask) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<F, T> Handler for Routes<F>
where
    F: Fn(Ask) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let body = Body::take_from(&mut state);
            let body = http::read_body(body, MAX_BODY).await.unwrap_or_default();
            let uri = Uri::borrow_from(&state);
            let ask = Ask {
                method: Method::borrow_from(&state).clone(),
                path: uri
                    .path()
                    .split('/')
                    .filter(|s| !s.is_empty())
                    .map(str::to_owned)
                    .collect(),
                query: query(uri.query().unwrap_or_default()),
                headers: HeaderMap::borrow_from(&state).clone(),
                body,
            };
            let response = (self.0)(ask).await;
            Ok((state, response))
        }
        .boxed()
    }
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|field| field.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Serves a stand-in for as long as the future is polled.
pub async fn serve<F, T>(listener: TcpListener, answer: F)
where
    F: Fn(Ask) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Response<Body>> + Send + 'static,
{
    http::serve(listener, Routes(answer)).await;
}
