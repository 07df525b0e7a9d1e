//! Checks how a response says where its body ends.
//!
//! A response with two lengths has two meanings. If one is used to read the body and the other one is passed on,
//! a caller gets a part of the body as if it were all, and the rest stands where its next response is due.

use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;

use crate::Fault;

/// Checks a response to a request with this method, whose body has `length` bytes as it is read; none if that is
/// not known before its end. Removes the transfer coding, of which nothing is left in the body.
///
/// # Errors
///
/// [`Fault::Invalid`] if the head names more than one length, another one than that of the body, or a transfer
/// coding that is not taken off.
pub fn normalize(
    method: &Method,
    head: &mut response::Parts,
    length: Option<u64>,
) -> Result<(), Fault> {
    let lengths = count(&head.headers, CONTENT_LENGTH.as_str());
    let codings = count(&head.headers, TRANSFER_ENCODING.as_str());
    if lengths + codings > 1 {
        return Err(invalid("the response has more than one length"));
    }
    if let Some(coding) = head.headers.remove(TRANSFER_ENCODING)
        && !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    {
        return Err(invalid("the transfer coding is unknown"));
    }
    let Some(named) = head.headers.get(CONTENT_LENGTH) else {
        return Ok(());
    };
    let digits = named.to_str().ok().filter(|text| is_number(text));
    let named: Option<u64> = digits.and_then(|text| text.parse().ok());
    let has_body = has_body(method, head.status);
    match named {
        None => Err(invalid("the length is no number")),
        Some(_) if !has_body => Ok(()),
        named if named == length => Ok(()),
        Some(_) => Err(invalid("the body has another length than the head")),
    }
}

/// Whether a response has a body, and does not only describe one.
fn has_body(method: &Method, status: StatusCode) -> bool {
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    *method != Method::HEAD && !bodiless && !status.is_informational()
}

fn count(headers: &HeaderMap, name: &str) -> usize {
    headers.get_all(name).iter().count()
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn invalid(reason: &'static str) -> Fault {
    Fault::Invalid {
        reason: reason.into(),
    }
}
