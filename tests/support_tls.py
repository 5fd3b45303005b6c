"""Issues TLS certificates for tests."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_BACKDATING = datetime.timedelta(hours=1)
_VALIDITY = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that writes certificates into a folder.

    :param pathlib.Path folder: folder of the written files.
    :param str name: common name of the CA and stem of its file name.

    :ivar str ca_file: path of the CA certificate.
    """

    def __init__(self, folder, name="ca"):
        self.folder = pathlib.Path(folder)
        self.name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(name, self._key, is_ca=True)
        self.ca_file = self._write(f"{name}.pem", _pem(certificate))

    def issue(self, name):
        """Write a certificate and its key; return their paths as TLS settings.

        :param str name: common name and stem of the file names.
        :returns: ``certificate_file``, ``key_file`` and ``ca_file``.
        :rtype: dict
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(name, key)
        return {
            "certificate_file": self._write(f"{name}.crt", _pem(certificate)),
            "key_file": self._write(f"{name}.key", _key_pem(key)),
            "ca_file": self.ca_file,
        }

    def _build(self, name, key, is_ca=False):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name(self.name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _BACKDATING)
            .not_valid_after(now + _VALIDITY)
            .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
        )
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name, data):
        path = self.folder / name
        path.write_bytes(data)
        return str(path)


def _name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(key):
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
