//! Call controller for one exchange of a telephone-like network: it decides whether a call is
//! admitted and which route it takes.
//!
//! The library does no input or output and reads no clock. The host passes in the time and the
//! events, and carries out the returned actions. The same events always give the same actions.
//!
//! ```
//! use slateshed::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     topology: Topology::Mesh { local: ExchangeNumber(0) },
//!     classes: vec![Class {
//!         target_delay: ms(1500),
//!         deadline: ms(9000),
//!         worth: 1.0,
//!         late_worth: 0.2,
//!         mean_hold: ms(10_000),
//!         idempotency: Idempotency::Idempotent,
//!         pools: vec![],
//!     }],
//!     tenant_quota: vec![],
//!     over_share_worth: 1.0,
//!     rules: Rules {
//!         drain_grace: ms(1000),
//!         overload_multiple: 3.0,
//!         overload_window: ms(1000),
//!         cold_capacity_ratio: 0.3,
//!         warm_up_time: ms(10_000),
//!         release_delay: ms(300),
//!     },
//!     controller_count: 3,
//!     controller_index: 0,
//!     max_attempts: 5,
//!     tick_interval: ms(5),
//!     resend_interval: Duration::ZERO,
//!     discovery: Discovery::Pushed,
//!     max_retry_after: Duration::ZERO,
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entry = |id, number| ListEntry {
//!     exchange: ExchangeId(id),
//!     number: ExchangeNumber(number),
//!     zone: 0,
//!     phase: Phase::InService,
//!     started_at: Duration::ZERO,
//! };
//! controller.handle(ms(0), Event::Started, &mut actions);
//! let list = ListUpdate::Full(vec![entry(10, 0), entry(11, 1)]);
//! controller.handle(ms(0), Event::List(list), &mut actions);
//! let trunks = Event::Circuits { exchange: ExchangeId(11), free: 20, size: 30 };
//! controller.handle(ms(0), trunks, &mut actions);
//! let call = NewCall {
//!     call: CallId(1),
//!     class: 0,
//!     tenant: 0,
//!     dialled: DialledNumber(5_550_100),
//!     patience: ms(3000),
//!     destination: ExchangeNumber(1),
//!     circuits: 1,
//!     route_hint: None,
//!     origin: Origin::Subscriber,
//! };
//! controller.handle(ms(5), Event::Call(call), &mut actions);
//! assert!(matches!(actions[..], [Action::SetUp { exchange: ExchangeId(11), .. }]));
//! # Ok::<(), SettingsError>(())
//! ```

pub mod control;
pub mod interface;

pub use control::Controller;
pub use interface::*;
