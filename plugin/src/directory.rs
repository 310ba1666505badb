//! The exchanges of the list, and detection of those whose process has terminated.

use slateshed::{ExchangeId, ListEntry, NamedEntry, Phase};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

#[derive(Debug)]
struct Exchange {
    name: String,
    phase: Phase,
    started_at: Duration,
}

/// Exchanges by name and by id. Ids are never reused.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    ids: HashMap<String, ExchangeId>,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    next_id: u32,
}

/// The result of applying an update of the list.
#[derive(Debug, PartialEq)]
pub(crate) struct DirectoryUpdate {
    /// The entries for the controller.
    pub entries: Vec<ListEntry>,
    /// Exchanges that are gone or have restarted: the attempts in flight there are lost.
    pub terminated: Vec<ExchangeId>,
}

impl Directory {
    /// Applies an update of the list: all entries if `full`, otherwise the changed entries only.
    pub fn update(&mut self, full: bool, named_entries: &[NamedEntry]) -> DirectoryUpdate {
        let mut terminated = Vec::new();
        if full {
            for (id, exchange) in &mut self.exchanges {
                if exchange.phase != Phase::Gone
                    && !named_entries.iter().any(|n| n.name == exchange.name)
                {
                    exchange.phase = Phase::Gone;
                    terminated.push(*id);
                }
            }
        }
        let mut entries = Vec::with_capacity(named_entries.len());
        for named in named_entries {
            let id = self.id_of(named);
            entries.push(named.to_list_entry(id));
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                if named.phase == Phase::Gone || named.started_at > exchange.started_at {
                    terminated.push(id);
                }
                (exchange.phase, exchange.started_at) = (named.phase, named.started_at);
            }
        }
        DirectoryUpdate { entries, terminated }
    }

    /// Returns the id of a listed exchange, which is added first if its name is new.
    fn id_of(&mut self, named: &NamedEntry) -> ExchangeId {
        if let Some(id) = self.ids.get(&named.name) {
            return *id;
        }
        let id = ExchangeId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.ids.insert(named.name.clone(), id);
        let exchange =
            Exchange { name: named.name.clone(), phase: named.phase, started_at: named.started_at };
        self.exchanges.insert(id, exchange);
        id
    }

    /// Removes the exchanges that are gone and not in use. Replacements come under new names, so the directory would
    /// otherwise grow for as long as the process runs.
    pub fn remove_gone(&mut self, is_used: impl Fn(ExchangeId) -> bool) {
        self.exchanges.retain(|id, exchange| exchange.phase != Phase::Gone || is_used(*id));
        let exchanges = &self.exchanges;
        self.ids.retain(|_, id| exchanges.contains_key(id));
    }

    /// The id of the exchange with this name.
    pub fn id(&self, name: &str) -> Option<ExchangeId> {
        self.ids.get(name).copied()
    }

    /// The name of the exchange with this id.
    pub fn name(&self, id: ExchangeId) -> Option<&str> {
        self.exchanges.get(&id).map(|e| e.name.as_str())
    }

    /// The number of exchanges in the directory.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.exchanges.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, phase: Phase, started_at: u64) -> NamedEntry {
        let (number, started_at) = (slateshed::ExchangeNumber(1), Duration::from_millis(started_at));
        NamedEntry { name: name.to_owned(), number, zone: 0, phase, started_at }
    }

    /// Guards against a directory that grows with every replaced exchange, and against two exchanges that get the same
    /// id after one of them is removed.
    #[test]
    fn exchange_that_is_gone_or_restarts_is_terminated_and_gone_ones_are_removed() {
        let mut directory = Directory::default();
        let started = directory.update(true, &[entry("one", Phase::InService, 0)]);
        assert_eq!((started.terminated, started.entries.len()), (vec![], 1));
        let restarted = directory.update(false, &[entry("one", Phase::InService, 5)]);
        assert_eq!(restarted.terminated, [ExchangeId(0)], "the restart was not detected");
        for n in 0..100 {
            let name = format!("s-{n}");
            directory.update(false, &[entry(&name, Phase::InService, 0)]);
            assert_eq!(directory.update(false, &[entry(&name, Phase::Gone, 0)]).terminated.len(), 1);
            directory.remove_gone(|_| false);
        }
        assert_eq!((directory.len(), directory.id("s-99")), (1, None));
        let full = directory.update(true, &[entry("two", Phase::InService, 0)]);
        assert_eq!(full.terminated, [ExchangeId(0)]);
        assert_eq!(directory.id("two"), Some(ExchangeId(101)));
    }
}
