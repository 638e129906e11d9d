//! Fills in the project's template of settings, as the platform's pages describe it.

use serde_json::Value;

/// Renders a template with the platform's fields.
pub fn render(template: &str, fields: &Value) -> String {
    let mut out = String::new();
    render_part(template, &mut vec![fields.clone()], &mut out);
    out
}

fn look_up(name: &str, scope: &[Value]) -> Option<Value> {
    if name == "." {
        return scope.last().cloned();
    }
    scope.iter().rev().find_map(|fields| {
        let mut value = fields;
        for step in name.split('.') {
            value = match value {
                Value::Array(list) => list.get(step.parse::<usize>().ok()?)?,
                value => value.get(step)?,
            };
        }
        Some(value.clone())
    })
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}

fn render_part(template: &str, scope: &mut Vec<Value>, out: &mut String) {
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let Some(end) = after.find("}}") else { return };
        let tag = after[..end].trim();
        rest = &after[end + 2..];
        if let Some(name) = tag.strip_prefix('#').or_else(|| tag.strip_prefix('^')) {
            let close = format!("{{{{/{name}}}}}");
            let Some(close_at) = rest.find(&close) else { return };
            let part = &rest[..close_at];
            rest = &rest[close_at + close.len()..];
            let value = look_up(name, scope);
            let is_present = !matches!(value, None | Some(Value::Null | Value::Bool(false)));
            if is_present == tag.starts_with('#') {
                render_part(part, scope, out);
            }
        } else {
            out.push_str(&look_up(tag, scope).map(|value| text(&value)).unwrap_or_default());
        }
    }
    out.push_str(rest);
}
