/** Executes each request: claims, attempts and the response to the caller. */
package org.chervillift.daemon.requests;
