package org.cowslipmoor.core.control;

/**
 * Identifies one run of an entry host's process.
 *
 * @param id member id of the host
 * @param dataCentre data centre of the host
 * @param incarnation identifier that is different for each start of the process
 */
public record HostIdentity(String id, String dataCentre, String incarnation) {}
