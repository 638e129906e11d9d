//! The operator's configuration and the requests of the callers.

/// The host name of all routes.
pub const SITE: &str = "ficu95.example";

/// A configuration with a service, a route for bookings (`unsafe`) and one for look-ups (`safe`).
pub fn configuration(timeout_ms: u32) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{SITE}\",\"prefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\"service\":\"lh-market\",\"attempts\":1}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"lh-market\",\"health_path\":\"/healthz\",\
         \"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("booking", "unsafe"),
        route("lookup", "safe")
    )
}

/// Returns a booking as a client sends it.
pub fn booking(id: &str, deadline_ms: u32) -> String {
    let body = "{\"space\":12}";
    format!(
        "POST /booking/2f HTTP/1.1\r\nHost: {SITE}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a look-up as a client sends it.
pub fn lookup(id: &str, deadline_ms: u32) -> String {
    format!(
        "GET /lookup/2f HTTP/1.1\r\nHost: {SITE}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a question for the directory.
pub fn resolve() -> String {
    format!("GET /-/resolve?name={SITE}&region=ch-mittelland&zone=bern-a HTTP/1.1\r\nHost: directory\r\n\r\n")
}
