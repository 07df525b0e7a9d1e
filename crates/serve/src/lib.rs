//! HTTP listeners that end without cutting a request, and bodies that can't end cleanly by accident.
//!
//! [`run`] accepts connections and answers each request by a [`Serve`]; [`Stop`] tells it to ask
//! callers to close, to stop accepting, or to cut what is left. [`ReplyBody`] is the body of a response:
//! a [`Writer`] that is dropped before its end breaks the connection.

pub mod body;
pub mod server;

pub use body::ReplyBody;
pub use body::Writer;
pub use server::Limits;
pub use server::Serve;
pub use server::Stop;
pub use server::run;
