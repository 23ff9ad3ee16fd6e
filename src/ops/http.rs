//! The protocol of the second address: HTTP/1.1 with one request per connection. A codec without I/O.

use crate::config::read_worker;
use crate::interface::WorkerId;

/// Longest head of a request: its request line and headers.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most header lines of a request.
const MAX_HEADERS: usize = 64;

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures.
    Figures,
    /// The members of the fleet and the holders of its tasks.
    Fleet,
    /// Cordon a worker.
    Exclude(WorkerId),
    /// Uncordon a worker.
    Include(WorkerId),
}

/// An error response: the HTTP status and a line that says what is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16, pub &'static str);

/// Parses a request; `Ok(None)` if its head is incomplete.
///
/// # Errors
/// [`HttpError`] holds the status and the line to answer with.
pub fn read(bytes: &[u8]) -> Result<Option<OperatorRequest>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError(431, "the head is too long"));
        }
        Err(httparse::Error::Version) => return Err(HttpError(505, "HTTP/1.1 is spoken here")),
        Err(_) => return Err(HttpError(400, "this is no HTTP call")),
    };
    if size > MAX_HEAD_BYTES {
        return Err(HttpError(431, "the head is too long"));
    }
    let body = request.headers.iter().any(|header| {
        let named = |name: &str| header.name.eq_ignore_ascii_case(name);
        named("transfer-encoding") || named("content-length") && header.value.trim_ascii() != b"0"
    });
    if body {
        return Err(HttpError(400, "no call here takes a body"));
    }
    if bytes.len() > size {
        return Err(HttpError(400, "one call a connection"));
    }
    route(request.method.unwrap_or(""), request.path.unwrap_or("")).map(Some)
}

fn route(method: &str, target: &str) -> Result<OperatorRequest, HttpError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/api/ready") => Ok(OperatorRequest::Ready),
        ("GET", "/api/telemetry") => Ok(OperatorRequest::Figures),
        ("GET", "/api/fleet") => Ok(OperatorRequest::Fleet),
        ("POST", "/api/exclude") => read_name(query).map(OperatorRequest::Exclude),
        ("POST", "/api/include") => read_name(query).map(OperatorRequest::Include),
        (_, "/api/ready" | "/api/telemetry" | "/api/fleet") => Err(HttpError(405, "GET is meant")),
        (_, "/api/exclude" | "/api/include") => Err(HttpError(405, "POST is meant")),
        _ => Err(HttpError(404, "no such path")),
    }
}

/// Parses the one worker that a query names.
fn read_name(query: &str) -> Result<WorkerId, HttpError> {
    let names: Vec<&str> = query.split('&').filter_map(|part| part.strip_prefix("name=")).collect();
    match names.as_slice() {
        [] => Err(HttpError(400, "name= is missing")),
        [name] => read_worker(name).ok_or(HttpError(400, "name= is no id of a node agent")),
        _ => Err(HttpError(400, "name= stands twice")),
    }
}

/// Writes a response with a plain text body.
pub fn answer(status: u16, text: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        505 => "HTTP Version Not Supported",
        _ => "Service Unavailable",
    };
    let allow = match (status, text) {
        (405, text) => format!("Allow: {}\r\n", text.split(' ').next().unwrap_or("GET")),
        _ => String::new(),
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n{allow}\
         Cache-Control: no-store\r\nConnection: close\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests;
