/**
 * The endpoint list: its two wire formats and the clients that receive its updates. On the platform
 * the list arrives as the numbered events of a server-sent event stream ({@link
 * switchgap.endpoints.EventStreamClient}, {@link switchgap.endpoints.EndpointListEvent}); at the
 * gateway as lines of JSON from the endpoint list service ({@link
 * switchgap.endpoints.EndpointListWatcher}, {@link switchgap.endpoints.EndpointListLine}).
 *
 * <p>Both clients use the states of {@link switchgap.endpoints.SubscriptionState} and reconnect
 * after the delays of {@link switchgap.endpoints.ReconnectBackoff}. While the service is
 * unavailable, the last list remains in use.
 */
package switchgap.endpoints;
