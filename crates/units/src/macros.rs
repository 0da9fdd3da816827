//! Macros that define value types with common derives.

/// Adds the common derives of value types to each item: `Debug`, `Clone`, equality, order, `Hash`
/// and serialisation.
///
/// Order, hashes and serialised forms follow the order of an item's fields and variants.
#[macro_export]
macro_rules! common {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Defines validated text identifiers.
macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $crate::common! {
                $(#[$meta])*
                #[serde(try_from = "Box<str>", into = "Box<str>")]
                pub struct $name(Box<str>);
            }

            impl $name {
                /// Validates a text as an identifier.
                ///
                /// # Errors
                /// [`ParseError`] when the text is not a valid identifier.
                pub fn new(text: &str) -> Result<Self, ParseError> {
                    check_text(text)?;
                    Ok(Self(text.into()))
                }

                /// Text of the identifier.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = ParseError;

                fn from_str(text: &str) -> Result<Self, ParseError> {
                    Self::new(text)
                }
            }

            impl TryFrom<Box<str>> for $name {
                type Error = ParseError;

                fn try_from(text: Box<str>) -> Result<Self, ParseError> {
                    Self::new(&text)
                }
            }

            impl From<$name> for Box<str> {
                fn from(id: $name) -> Self {
                    id.0
                }
            }
        )*
    };
}

/// Defines integers with a unit.
macro_rules! number {
    ($($(#[$meta:meta])* $name:ident($inner:ty), $unit:literal;)*) => {
        $(
            $crate::common! {
                $(#[$meta])*
                #[derive(Copy, Default)]
                #[serde(transparent)]
                pub struct $name(pub $inner);
            }

            impl $name {
                /// Value from a plain number.
                #[must_use]
                pub const fn new(value: $inner) -> Self {
                    Self(value)
                }

                /// Plain number.
                #[must_use]
                pub const fn get(self) -> $inner {
                    self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, concat!("{}", $unit), self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    let digits = text.strip_suffix($unit).unwrap_or(text);
                    digits.trim().parse().map(Self)
                }
            }
        )*
    };
}

pub(crate) use {number, text_id};
