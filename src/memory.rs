//! What a process keeps of the memory that it no longer uses.
//!
//! Glibc asks the system for each large block and returns it when it is freed. By default the size
//! from which a block counts as large rises to that of the first one freed, up to 32 MiB. Blocks of
//! bodies and events then come from the heap, where one small block in use above them keeps them
//! all, so a box would go on holding the memory of a flood that its own limits have ended.

/// Size in bytes from which a freed block goes back to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const RETURNED_BLOCK_BYTES: libc::c_int = 128 << 10;

/// Makes the allocator return all large blocks to the system once they are freed. Does nothing
/// with C libraries other than glibc.
pub fn return_freed_blocks() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: `mallopt` takes two integers, locks the allocator, and leaves blocks in use alone.
        let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES) };
        if is_set == 0 {
            log::warn!("the allocator keeps large blocks: its threshold can't be set");
        }
    }
}
