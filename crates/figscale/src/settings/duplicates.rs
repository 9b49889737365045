//! A walk over JSON that keeps nothing and refuses a name given twice.

use std::fmt;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;

/// Any JSON in which no object has the same name twice.
pub(super) struct Unique;

impl<'de> Deserialize<'de> for Unique {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(Walk)
    }
}

struct Walk;

impl<'de> de::Visitor<'de> for Walk {
    type Value = Unique;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_str<E>(self, _: &str) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_unit<E>(self) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut input: A) -> Result<Unique, A::Error> {
        while input.next_element::<Unique>()?.is_some() {}
        Ok(Unique)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut input: A) -> Result<Unique, A::Error> {
        let mut names = IndexSet::new();
        while let Some(name) = input.next_key::<String>()? {
            if names.contains(&name) {
                let text = format!("duplicate field `{name}`");
                return Err(de::Error::custom(text));
            }
            input.next_value::<Unique>()?;
            names.insert(name);
        }
        Ok(Unique)
    }
}
