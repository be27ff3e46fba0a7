package org.cowslipmoor.daemon.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.io.DataInputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.schema.member.Envelope;
import org.cowslipmoor.schema.member.Hello;
import org.junit.jupiter.api.Test;

final class MemberLinksTest {
  private static final int LINKS = 30;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String IP = "127.0.0.1";
  private static final MemberMessage MESSAGE = new MemberMessage.StateRequest("cairo", 1, 1);

  private static Envelope readFrame(DataInputStream in) throws Exception {
    return Envelope.parseFrom(in.readNBytes(in.readInt()));
  }

  @Test
  void helloIsSentBeforeTheFirstMessageOfEachLink() throws Exception {
    Hello hello = Hello.newBuilder().setSetup("main").setMemberId("host-1").build();
    try (ServerSocket server = new ServerSocket(0, LINKS, InetAddresses.forString(IP));
        MemberLinks links = new MemberLinks(hello, id -> Optional.empty(), (from, message) -> {})) {
      server.setSoTimeout(TIMEOUT_MILLIS);
      List<HostAndPort> peer = List.of(HostAndPort.fromParts(IP, server.getLocalPort()));
      for (int i = 0; i < LINKS; i++) {
        links.sendTo(peer, MESSAGE);
        try (Socket socket = server.accept()) {
          socket.setSoTimeout(TIMEOUT_MILLIS);
          DataInputStream in = new DataInputStream(socket.getInputStream());
          assertThat("first frame of link " + i, readFrame(in).hasHello(), is(true));
          assertThat("second frame of link " + i, readFrame(in).hasStateRequest(), is(true));
        }
      }
    }
  }
}
