"""TLS contexts from certificate files."""

import ssl

from sequoiagap.base import _errors


class TlsContexts:
    """Contexts of one certificate, for both ends of a connection.

    Peers are checked against the CA file alone, not by host name: hosts are
    addressed by IP and replaced at any time, so the CA must be the deployment's
    own.

    :param str certificate_file: certificate chain in PEM.
    :param str key_file: private key in PEM.
    :param str ca_file: certificates of the CA in PEM; empty where peers need
        no certificate.

    :ivar ssl.SSLContext server_: context of the accepting side.
    :ivar ssl.SSLContext client_: context of the opening side.
    """

    def __init__(self, certificate_file, key_file, ca_file=""):
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.ca_file = ca_file
        self.server_ = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client_ = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.client_.check_hostname = False
        if ca_file:
            self.server_.verify_mode = ssl.CERT_REQUIRED
        self.load()

    def load(self):
        """Read the files, now and again after they were renewed.

        Open connections keep what they were opened with. A CA that left the file
        stays trusted until the process starts anew.

        :raises sequoiagap.base.ConfigError: if a file can't be used.
        """
        for context in (self.server_, self.client_):
            try:
                context.load_cert_chain(self.certificate_file, self.key_file)
                if self.ca_file:
                    context.load_verify_locations(self.ca_file)
            except OSError as error:
                raise _errors.ConfigError(
                    f"{self.certificate_file}, {self.key_file} or "
                    f"{self.ca_file or 'no CA file'}: can't be used ({error})",
                    "Give a certificate, its own key and its CA, all in PEM",
                ) from error
