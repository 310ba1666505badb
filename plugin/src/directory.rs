//! The exchanges of the list, and which of them have lost what they were doing.

use slateshed::{ExchangeId, ListEntry, NamedEntry, Phase};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

#[derive(Debug)]
struct Known {
    name: String,
    phase: Phase,
    started_at: Duration,
}

/// Exchanges by name and by id. Ids are never used twice.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    ids: HashMap<String, ExchangeId>,
    known: BTreeMap<ExchangeId, Known>,
    next: u32,
}

/// What news of the list comes to.
#[derive(Debug, PartialEq)]
pub(crate) struct Update {
    /// The lines for the controller.
    pub entries: Vec<ListEntry>,
    /// Exchanges that are gone or have started anew: whatever was out there is over.
    pub lost: Vec<ExchangeId>,
}

impl Directory {
    /// Takes in news of the list: all of it, or changed lines only.
    pub fn update(&mut self, whole: bool, lines: &[NamedEntry]) -> Update {
        let mut lost = Vec::new();
        if whole {
            for (id, known) in &mut self.known {
                if known.phase != Phase::Gone && !lines.iter().any(|l| l.name == known.name) {
                    known.phase = Phase::Gone;
                    lost.push(*id);
                }
            }
        }
        let mut entries = Vec::with_capacity(lines.len());
        for line in lines {
            let id = self.id_of(line);
            entries.push(line.entry(id));
            if let Some(known) = self.known.get_mut(&id) {
                if line.phase == Phase::Gone || line.started_at > known.started_at {
                    lost.push(id);
                }
                (known.phase, known.started_at) = (line.phase, line.started_at);
            }
        }
        Update { entries, lost }
    }

    fn id_of(&mut self, line: &NamedEntry) -> ExchangeId {
        if let Some(id) = self.ids.get(&line.name) {
            return *id;
        }
        let id = ExchangeId(self.next);
        self.next = self.next.wrapping_add(1);
        self.ids.insert(line.name.clone(), id);
        let known = Known { name: line.name.clone(), phase: line.phase, started_at: line.started_at };
        self.known.insert(id, known);
        id
    }

    /// Forgets the exchanges that are gone and where nothing is out any more: they are replaced under other names, so
    /// whoever keeps them grows for as long as it runs.
    pub fn forget_gone(&mut self, is_used: impl Fn(ExchangeId) -> bool) {
        self.known.retain(|id, known| known.phase != Phase::Gone || is_used(*id));
        let known = &self.known;
        self.ids.retain(|_, id| known.contains_key(id));
    }

    /// The id of a name.
    pub fn id(&self, name: &str) -> Option<ExchangeId> {
        self.ids.get(name).copied()
    }

    /// The name of an id.
    pub fn name(&self, id: ExchangeId) -> Option<&str> {
        self.known.get(&id).map(|k| k.name.as_str())
    }

    /// How many exchanges are kept in mind.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.known.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(name: &str, phase: Phase, started_at: u64) -> NamedEntry {
        let (number, started_at) = (slateshed::ExchangeNumber(1), Duration::from_millis(started_at));
        NamedEntry { name: name.to_owned(), number, zone: 0, phase, started_at }
    }

    /// Guards against a list that grows with every exchange that is replaced, and against ids that mean two exchanges.
    #[test]
    fn whoever_is_gone_or_starts_anew_has_lost_its_work_and_is_forgotten() {
        let mut directory = Directory::default();
        let one = directory.update(true, &[line("one", Phase::InService, 0)]);
        assert_eq!((one.lost, one.entries.len()), (vec![], 1));
        let again = directory.update(false, &[line("one", Phase::InService, 5)]);
        assert_eq!(again.lost, [ExchangeId(0)], "started anew");
        for n in 0..100 {
            let name = format!("s-{n}");
            directory.update(false, &[line(&name, Phase::InService, 0)]);
            assert_eq!(directory.update(false, &[line(&name, Phase::Gone, 0)]).lost.len(), 1);
            directory.forget_gone(|_| false);
        }
        assert_eq!((directory.len(), directory.id("s-99")), (1, None));
        let whole = directory.update(true, &[line("two", Phase::InService, 0)]);
        assert_eq!(whole.lost, [ExchangeId(0)]);
        assert_eq!(directory.id("two"), Some(ExchangeId(101)));
    }
}
