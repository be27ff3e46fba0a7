package org.cowslipmoor.core.configuration;

/**
 * A host that is a member of a setup or joins it.
 *
 * @param id unique name of the host within the setup
 * @param dataCentre name of its data centre
 * @param ip IP address at which callers, operators and other members reach it
 * @param callerPort port for callers, 1 to 65535
 * @param operatorPort port for operators, 1 to 65535
 * @param memberPort port for links from other members, 1 to 65535
 */
public record Member(
    String id, String dataCentre, String ip, int callerPort, int operatorPort, int memberPort) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if a name, the IP address or a port is invalid
   */
  public Member {
    FieldChecks.checkName("member id", id);
    FieldChecks.checkName("data centre of member " + id, dataCentre);
    FieldChecks.checkIp("ip of member " + id, ip);
    FieldChecks.checkPort("caller port of member " + id, callerPort);
    FieldChecks.checkPort("operator port of member " + id, operatorPort);
    FieldChecks.checkPort("member port of member " + id, memberPort);
  }
}
