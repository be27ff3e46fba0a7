package org.cowslipmoor.core.control;

/**
 * Permits a host to act on one version of the ownership table for a time.
 *
 * @param version the version
 * @param expiresAt time on the host's clock at which the permission ends
 * @param basis what it rests on
 */
public record Authority(long version, long expiresAt, Basis basis) {

  /** Permits nothing. */
  public static final Authority NONE = new Authority(0, Long.MIN_VALUE, Basis.NONE);

  /** Tells what an authority rests on. */
  public enum Basis {
    /** Nothing. */
    NONE,
    /** The coordinator's lease in the store. */
    STORE_LEASE,
    /** The attestations of a majority of the data centre's hosts. */
    ATTESTATION
  }

  /** Tells whether the host may act on the version now. */
  public boolean permits(long requestedVersion, long now) {
    return basis != Basis.NONE && version == requestedVersion && expiresAt - now > 0;
  }
}
