pub(crate) mod story;
pub(crate) mod summary;
