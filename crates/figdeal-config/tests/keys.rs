//! Tests of key files, the text form of keys, and signatures.

use std::{fs, os::unix::fs::PermissionsExt};

use figdeal_config::keys::{KeyError, PrivateKey, PublicKey, Signature};

/// Guards against writing key files that others can read, and against accepting such files.
#[test]
fn key_files_are_private() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("owner.key");
    let key = PrivateKey::generate().unwrap();
    key.write(&path).unwrap();
    let mode = fs::metadata(&path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(PrivateKey::read(&path).unwrap().public(), key.public());
    assert!(
        matches!(key.write(&path), Err(KeyError::Io("write", ..))),
        "a key was overwritten"
    );

    for mode in [0o640, 0o604, 0o610, 0o601, 0o666] {
        fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
        let error = PrivateKey::read(&path).unwrap_err();
        assert!(
            matches!(error, KeyError::InsecureMode(_, found) if found == mode),
            "{error}"
        );
    }
}

/// Guards against private keys in logs and error messages.
#[test]
fn private_keys_are_not_shown() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("owner.key");
    let key = PrivateKey::generate().unwrap();
    key.write(&path).unwrap();
    let text = fs::read_to_string(&path).unwrap();
    let secret = text.trim_end().strip_prefix("figdeal-private-").unwrap();
    assert!(!format!("{key:?} {key:#?}").contains(secret));

    let cut = &text[..text.len() - 3];
    for damaged in [
        cut,
        &format!("{text}x"),
        secret,
        "",
        "figdeal-private-\u{e4}",
        &"a".repeat(5_000),
    ] {
        fs::write(&path, damaged).unwrap();
        let error = PrivateKey::read(&path).unwrap_err();
        assert!(matches!(error, KeyError::InvalidPrivateKey(_)), "{error}");
        assert!(!format!("{error} {error:?}").contains(&secret[..16]));
    }
}

/// Guards against a signature that is valid for another message or key.
#[test]
fn signatures_cover_message_and_key() {
    let [key, other] = [(); 2].map(|()| PrivateKey::generate().unwrap());
    let message = b"change 7";
    let signature = key.sign(message);
    key.public().verify(message, &signature).unwrap();
    assert!(other.public().verify(message, &signature).is_err());
    assert!(key.public().verify(b"change 8", &signature).is_err());

    let bytes = postcard::to_allocvec(&signature).unwrap();
    assert_eq!(bytes.len(), 64);
    for bit in 0..512 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let damaged: Signature = postcard::from_bytes(&bytes).unwrap();
        assert!(
            key.public().verify(message, &damaged).is_err(),
            "bit {bit} is not covered"
        );
    }
}

/// Guards against a weak key that arrives in a message. If the key and the first half of the signature are the neutral
/// point and the second half is zero, non-strict verification succeeds for every message.
#[test]
fn weak_keys_verify_nothing() {
    let mut bytes = [0; 64];
    bytes[0] = 1;
    let key: PublicKey = postcard::from_bytes(&bytes[..32]).unwrap();
    let signature: Signature = postcard::from_bytes(&bytes).unwrap();
    assert!(matches!(
        key.verify(b"any", &signature),
        Err(KeyError::InvalidSignature)
    ));
}

/// Guards against public keys that change in their text form, and against accepting weak keys, for which a signature
/// can be made without a private key.
#[test]
fn public_keys_have_one_text_form() {
    let key = PrivateKey::generate().unwrap().public();
    let text = key.to_string();
    assert_eq!(text.parse::<PublicKey>().unwrap(), key);
    let weak = format!("figdeal-public-{}", "00".repeat(32));
    let private = text.replace("public", "private");
    for wrong in [
        &text[1..],
        &text[..text.len() - 1],
        &format!("{text}0"),
        &weak,
        &private,
        "",
    ] {
        assert!(
            matches!(wrong.parse::<PublicKey>(), Err(KeyError::InvalidPublicKey)),
            "{wrong}"
        );
    }
}
