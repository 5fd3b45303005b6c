"""TLS contexts loaded from certificate files, reloadable at run time."""

import ssl

from sequoiagap.base import _errors


class TlsContexts:
    """Holds the server and client contexts of one certificate.

    Peers are verified against the CA file only, not by host name: hosts are
    addressed by IP and may be replaced at any time. The CA must therefore belong
    to the deployment alone.

    :param str certificate_file: certificate chain in PEM.
    :param str key_file: private key in PEM.
    :param str ca_file: CA certificates in PEM; empty if peers need no
        certificate.

    :ivar ssl.SSLContext server_: context for accepted connections.
    :ivar ssl.SSLContext client_: context for opened connections.
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
        """Load the files; call it again after they were renewed.

        Open connections keep the certificates they were opened with. A CA that was
        removed from the file stays trusted until the process restarts.

        :raises sequoiagap.base.ConfigError: if a file is missing or invalid.
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
