package org.cowslipmoor.daemon.platform;

import java.util.concurrent.CompletableFuture;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;

/** A client of the platform's key-value service. */
public interface PlatformStore extends AutoCloseable {

  /**
   * Makes a call for the host's control logic. The future never fails: a call without a response
   * completes with {@link StoreResponse.NoResponse}.
   */
  CompletableFuture<StoreResponse> call(StoreCall call);

  @Override
  void close();
}
