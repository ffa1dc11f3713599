//! Storage that outlives the journal opened on it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use cranehill_journal::{Memory, Storage};

/// Storage that outlives the journal opened on it, and can be inspected even if opening fails.
#[derive(Clone)]
pub(crate) struct SharedStorage(pub(crate) Rc<RefCell<Memory>>);

impl SharedStorage {
    pub(crate) fn new(files: Memory) -> SharedStorage {
        SharedStorage(Rc::new(RefCell::new(files)))
    }
}

impl Storage for SharedStorage {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().append(name, bytes)
    }
    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.borrow_mut().read(name, offset, len)
    }
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.0.borrow_mut().truncate(name, size)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.borrow_mut().rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name)
    }
    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        self.0.borrow_mut().list()
    }
    fn free_bytes(&mut self) -> u64 {
        self.0.borrow_mut().free_bytes()
    }
}
