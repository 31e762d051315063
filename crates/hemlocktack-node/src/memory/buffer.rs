//! Collects the pieces of a body into one buffer, within the budget.

use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::{Stream, StreamExt};
use hemlocktack_decide::SMALL_BODY_BYTES;
use memmap2::MmapMut;

use super::budget::{BodyMemory, BodyNeed, HeldBytes, NoMemory};

/// Result of collecting a body.
pub(crate) type Result<T, E> = std::result::Result<T, CollectError<E>>;

/// Bodies from this size on are kept in pages of their own, which go back to the system at once.
/// The allocator would keep them: its limit for that grows with the blocks that it has released.
const MIN_MAPPED_BYTES: usize = 256 << 10;
/// What a body of unknown length reserves at a time.
const GROWTH_BYTES: usize = 1 << 20;
/// Interval in which a body must receive [`MIN_INTERVAL_BYTES`] while others wait for its memory.
const PACE_INTERVAL: Duration = Duration::from_millis(500);
/// A thousandth of what a caller on the same machine sends in that time.
const MIN_INTERVAL_BYTES: usize = 256 << 10;

/// Why a body was not collected.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CollectError<E> {
    #[display("longer than allowed")]
    #[from(ignore)]
    TooLarge,
    #[display("{_0}")]
    NoMemory(NoMemory),
    #[display("its sender is too slow while other bodies wait for memory")]
    #[from(ignore)]
    Standstill,
    #[display("not received completely")]
    #[from(ignore)]
    #[error(ignore)]
    Source(E),
}

/// A body to collect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyPlan {
    /// Its length, if that is known.
    pub(crate) length_bytes: Option<usize>,
    pub(crate) limit_bytes: usize,
    /// Whether it loses its memory to bodies that wait when it stands still.
    pub(crate) may_be_displaced: bool,
}

/// A buffer for one body, whose memory is reserved.
pub(crate) struct BodyBuffer {
    storage: Storage,
    held: HeldBytes,
}

enum Storage {
    Heap(Vec<u8>),
    Pages { pages: MmapMut, length_bytes: usize },
}

impl BodyMemory {
    /// Collects a body, and holds its memory until the last reference to it is dropped.
    pub(crate) async fn collect<E>(
        &self,
        need: &BodyNeed,
        plan: BodyPlan,
        mut pieces: impl Stream<Item = std::result::Result<Bytes, E>> + Unpin,
    ) -> Result<Bytes, E> {
        if plan.length_bytes.unwrap_or(0) > plan.limit_bytes {
            return Err(CollectError::TooLarge);
        }
        let held = match plan.length_bytes {
            Some(length_bytes) => self.reserve(need, length_bytes).await?,
            None => {
                let first_bytes = plan.limit_bytes.min(SMALL_BODY_BYTES);
                self.reserve_growing(need, first_bytes).await?
            }
        };
        let mut pace = Pace::start();
        let Some(first) = self.next_piece(plan, &mut pace, &mut pieces).await? else {
            return Ok(Bytes::new());
        };
        // Copied even if it is all: a piece keeps the whole buffer that it was read into.
        let mut buffer = match plan.length_bytes {
            Some(_) => BodyBuffer::new(held),
            None => BodyBuffer::growing(held),
        };
        buffer.append_growing(need, plan, &first).await?;
        while let Some(piece) = self.next_piece(plan, &mut pace, &mut pieces).await? {
            buffer.append_growing(need, plan, &piece).await?;
        }
        Ok(buffer.into_bytes())
    }

    /// Returns the next piece; `None` at the end of the body.
    async fn next_piece<E>(
        &self,
        plan: BodyPlan,
        pace: &mut Pace,
        pieces: &mut (impl Stream<Item = std::result::Result<Bytes, E>> + Unpin),
    ) -> Result<Option<Bytes>, E> {
        let is_small = plan
            .length_bytes
            .is_some_and(|length_bytes| length_bytes <= SMALL_BODY_BYTES);
        if is_small || !plan.may_be_displaced {
            let piece = pieces.next().await.transpose();
            return piece.map_err(CollectError::Source);
        }
        loop {
            let next = tokio::time::timeout_at(pace.ends_at.into(), pieces.next()).await;
            if let Ok(piece) = next {
                let piece = piece.transpose().map_err(CollectError::Source)?;
                pace.received_bytes += piece.as_ref().map_or(0, Bytes::len);
                return Ok(piece);
            }
            if pace.received_bytes < MIN_INTERVAL_BYTES && self.waiting_count() > 0 {
                return Err(CollectError::Standstill);
            }
            *pace = Pace::start();
        }
    }
}

/// What a body has received in the current interval.
struct Pace {
    ends_at: Instant,
    received_bytes: usize,
}

impl Pace {
    fn start() -> Self {
        Self {
            ends_at: Instant::now() + PACE_INTERVAL,
            received_bytes: 0,
        }
    }
}

impl BodyBuffer {
    /// Creates a buffer of the size that is reserved for it.
    pub(crate) fn new(held: HeldBytes) -> Self {
        Self {
            storage: Storage::with_capacity(held.bytes()),
            held,
        }
    }

    /// Creates a buffer that takes no more than it contains while it is small.
    fn growing(held: HeldBytes) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            held,
        }
    }

    pub(crate) fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Pages { length_bytes, .. } => *length_bytes,
        }
    }

    /// Appends bytes for which memory is reserved; `false` if there are more than that.
    pub(crate) fn append(&mut self, piece: &[u8]) -> bool {
        if self.len() + piece.len() > self.held.bytes() {
            return false;
        }
        self.storage.append(piece);
        true
    }

    async fn append_growing<E>(
        &mut self,
        need: &BodyNeed,
        plan: BodyPlan,
        piece: &[u8],
    ) -> Result<(), E> {
        let end_bytes = self.len() + piece.len();
        if end_bytes > plan.limit_bytes {
            return Err(CollectError::TooLarge);
        }
        while end_bytes > self.held.bytes() {
            let left_bytes = plan.limit_bytes - self.held.bytes();
            let more_bytes = left_bytes.min(GROWTH_BYTES);
            self.held.grow(need, more_bytes).await?;
            self.storage.make_room(plan.limit_bytes);
        }
        self.storage.append(piece);
        Ok(())
    }

    /// Returns the bytes, whose memory is held until the last reference to them is dropped.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if let Storage::Heap(bytes) = &mut self.storage {
            bytes.shrink_to_fit();
        }
        self.held.shrink(self.len());
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Pages {
                pages,
                length_bytes,
            } => &pages[..*length_bytes],
        }
    }
}

impl Storage {
    fn with_capacity(capacity_bytes: usize) -> Self {
        if capacity_bytes >= MIN_MAPPED_BYTES
            && let Ok(pages) = MmapMut::map_anon(capacity_bytes)
        {
            return Storage::Pages {
                pages,
                length_bytes: 0,
            };
        }
        Storage::Heap(Vec::with_capacity(capacity_bytes))
    }

    /// Makes room for a body of this length. Pages that are not written take no memory.
    fn make_room(&mut self, capacity_bytes: usize) {
        let Storage::Heap(bytes) = self else {
            return;
        };
        let mut larger = Storage::with_capacity(capacity_bytes);
        larger.append(bytes);
        *self = larger;
    }

    fn append(&mut self, piece: &[u8]) {
        match self {
            Storage::Heap(bytes) => bytes.extend_from_slice(piece),
            Storage::Pages {
                pages,
                length_bytes,
            } => {
                let end_bytes = *length_bytes + piece.len();
                pages[*length_bytes..end_bytes].copy_from_slice(piece);
                *length_bytes = end_bytes;
            }
        }
    }
}

/// A buffer that arrived in one piece.
struct TrackedPiece {
    piece: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for TrackedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}

/// Returns the same bytes, which hold memory until their last reference is dropped.
pub(crate) fn track(piece: Bytes, held: HeldBytes) -> Bytes {
    if piece.is_empty() {
        return piece;
    }
    Bytes::from_owner(TrackedPiece { piece, _held: held })
}
