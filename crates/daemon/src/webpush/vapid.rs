//! VAPID (RFC 8292): how this sender identifies itself to push services.

use std::collections::HashMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use p256::ecdsa::signature::Signer;
use p256::ecdsa::{Signature, SigningKey};
use serde::{Deserialize, Serialize};

/// Validity of a signed token, in seconds. RFC 8292, section 2, allows at most 24 hours.
const TOKEN_VALIDITY_SECONDS: u64 = 12 * 3600;
/// The JWT header of every token: ECDSA on P-256 with SHA-256.
const TOKEN_HEADER: &str = r#"{"typ":"JWT","alg":"ES256"}"#;

/// The key and contact in the Web Push file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VapidFile {
    /// The P-256 private key: 32 bytes in base64url without padding.
    pub key: String,
    /// The operators' contact for push services: a `mailto:` or `https:` URI.
    pub subject: String,
}

/// Why a VAPID key or subject is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum VapidError {
    /// The key's text is not base64url.
    #[error("vapid: key: expected base64url: {0}")]
    KeyEncoding(#[from] base64::DecodeError),
    /// The key's bytes are not a private key.
    #[error("vapid: key: expected a P-256 private key of 32 bytes")]
    Key,
    /// The subject is neither a `mailto:` nor an `https:` URI.
    #[error("vapid: subject: expected a mailto: or https: URI")]
    Subject,
}

/// The signing key, and a cache of the tokens signed with it.
#[derive(Debug)]
pub struct Vapid {
    key: SigningKey,
    public_key: String,
    subject: String,
    /// Cached tokens by the push service's origin.
    tokens: HashMap<String, Token>,
}

#[derive(Clone, Debug)]
struct Token {
    text: String,
    /// Unix time in seconds.
    expires: u64,
}

impl Vapid {
    /// Creates a signer with the key and subject of the file.
    ///
    /// # Errors
    /// The key or the subject is not valid.
    pub fn new(file: &VapidFile) -> Result<Vapid, VapidError> {
        let bytes = URL_SAFE_NO_PAD.decode(&file.key)?;
        let key = SigningKey::from_slice(&bytes).map_err(|_| VapidError::Key)?;
        let public_key =
            URL_SAFE_NO_PAD.encode(key.verifying_key().to_sec1_point(false).as_bytes());
        if !file.subject.starts_with("mailto:") && !file.subject.starts_with("https:") {
            return Err(VapidError::Subject);
        }
        Ok(Vapid {
            key,
            public_key,
            subject: file.subject.clone(),
            tokens: HashMap::new(),
        })
    }

    /// The value of the `Authorization` header for a push service (RFC 8292, section 3). The token is cached, and renewed after half
    /// of its validity.
    pub fn authorization(&mut self, origin: &str, unix_seconds: u64) -> String {
        let cached = self.tokens.get(origin);
        let valid = cached.filter(|t| t.expires > unix_seconds + TOKEN_VALIDITY_SECONDS / 2);
        let token = match valid {
            Some(token) => token.text.clone(),
            None => self.sign(origin, unix_seconds + TOKEN_VALIDITY_SECONDS),
        };
        format!("vapid t={token}, k={}", self.public_key)
    }

    /// Signs a token and caches it.
    fn sign(&mut self, origin: &str, expires: u64) -> String {
        let claims = serde_json::json!({"aud": origin, "exp": expires, "sub": self.subject});
        let encode = |part: &str| URL_SAFE_NO_PAD.encode(part);
        let signed = format!("{}.{}", encode(TOKEN_HEADER), encode(&claims.to_string()));
        let signature: Signature = self.key.sign(signed.as_bytes());
        let text = format!("{signed}.{}", URL_SAFE_NO_PAD.encode(signature.to_bytes()));
        let token = Token {
            text: text.clone(),
            expires,
        };
        self.tokens.insert(origin.to_owned(), token);
        text
    }
}
