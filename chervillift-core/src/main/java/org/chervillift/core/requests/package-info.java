/** The state machine of one request, from the claim on its identifier to its single answer. */
package org.chervillift.core.requests;
