//! Customers of the fleet, their keys and their limits.
//!
//! A key is a secret. It is replaced by its digest where it is read, and no other
//! code sees the key itself: tables, messages between instances and dumps hold
//! digests only, and the `Debug` output of a digest shows none of its bytes. The
//! time of looking up a digest depends only on the digest, from which the key
//! cannot be derived.

use std::fmt;
use std::str;
use std::sync;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;

use super::job;
use crate::error;

/// A customer, by the name in the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct CustomerName(sync::Arc<str>);

impl From<String> for CustomerName {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<CustomerName> for String {
    fn from(name: CustomerName) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for CustomerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for CustomerName {
    type Err = error::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(error::ParseError::new("customer name", text, "a name"));
        }
        Ok(Self(text.into()))
    }
}

/// Digest of a customer's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a customer is entitled to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerTerms {
    /// Relative share under contention, in thousandths; never 0.
    pub weight_millis: u64,
    /// Resources that its running tasks may use together; `u64::MAX` means no limit.
    pub limit: job::Room,
}

/// Customers and the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Customers {
    terms: IndexMap<CustomerName, CustomerTerms>,
    keys: IndexMap<KeyDigest, CustomerName>,
}

impl Customers {
    /// Adds a customer; an error says which name or key is already in use.
    pub fn add(
        &mut self,
        name: CustomerName,
        terms: CustomerTerms,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), String> {
        if self.terms.contains_key(&name) {
            return Err(format!("customer {name} is there twice"));
        }
        for key in keys {
            match self.keys.get(&key) {
                Some(other) if *other != name => {
                    return Err(format!("customers {other} and {name} have a key in common"));
                }
                _ => self.keys.insert(key, name.clone()),
            };
        }
        self.terms.insert(name, terms);
        Ok(())
    }

    /// The customer that a key belongs to.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&CustomerName> {
        self.keys.get(key)
    }

    /// What a customer is entitled to; `None` for an unknown customer.
    pub fn terms(&self, name: &CustomerName) -> Option<&CustomerTerms> {
        self.terms.get(name)
    }

    /// All customers.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerName, &CustomerTerms)> {
        self.terms.iter()
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.terms.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }
}
